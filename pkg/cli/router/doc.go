// Package router implements the commands of the almondrock program, except those of package platform.
package router
