// Package routes is the configuration that maps requests by host and path to services, for targets that announce
// themselves: checked types, the lookup of a route and the choice of a service by weight. It has no I/O.
package routes
