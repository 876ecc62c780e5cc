// Package entry is the entry host, which accepts requests of callers and sends them to targets. It receives its view of
// targets, key owners and routes from the registry, and exchanges reports of its requests in flight with the other entry
// hosts of its region. The names of header fields are configured with a Protocol.
package entry
