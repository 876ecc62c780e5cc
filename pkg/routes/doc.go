// Package routes holds the configuration that maps requests to services by host and path prefix: the types and their
// validation, the route lookup and the weighted choice among the services of a route. It performs no I/O.
package routes
