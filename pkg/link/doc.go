// Package link limits the rate at which a host uses the link between regions. The hosts of a region share the link, and
// each may use an equal part of its rate, which is its share. A token bucket per direction enforces the share and serves
// the traffic classes in strict priority: control, interactive, booking, file. Data is delayed in small chunks (paced) to
// keep to the rate. All bytes are counted, because the link is billed by volume.
package link
