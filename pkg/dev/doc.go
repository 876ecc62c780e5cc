// Package dev runs a complete small deployment in one process on loopback: hosts, a control group with its data directories
// and stand-in targets that announce themselves over HTTP. It is meant for trying almondrock out and for tests.
package dev
