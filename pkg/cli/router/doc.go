// Package router is the command line of the almondrock program.
package router
