// Package entry is a host that takes requests of callers and sends them to targets. It follows the registry through
// views, and shares its load in flight with the other entry hosts of its region. The names of header fields come from
// outside, as a Protocol.
package entry
