// Package config reads the operators' files: it decodes the base file and the overlays of the sites strictly against
// the protobuf schema, merges and checks them, compares revisions, and compiles a revision to an immutable Snapshot
// that resolves requests. docs/operators-files.md describes the files and the rules.
package config
