// Package config reads the configuration files of operators, which are a base file and an overlay per data centre. It
// decodes them strictly against the protobuf schema, merges and checks them, compares revisions, and compiles a revision
// to an immutable Snapshot that finds the route and the limits of a request. docs/operators-files.md describes the files
// and the rules.
package config
