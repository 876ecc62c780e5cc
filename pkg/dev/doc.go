// Package dev runs a whole small deployment in one process on loopback: hosts, a control group with its data folders
// and stand-in targets that announce themselves over HTTP. It is for trying almondrock out and for tests.
package dev
