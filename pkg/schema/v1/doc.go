// Package schemav1 holds the messages, the operators' files and the process settings of almondrock. All other files
// of the package are generated from schema/almondrock/v1 by tools/generate.
package schemav1
