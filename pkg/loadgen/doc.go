// Package loadgen is an open-loop load generator for HTTP addresses on loopback. It reports latencies and refusals. Each
// request has an intended send time that doesn't depend on earlier responses, and latency is measured from that time, so
// that a stall counts for all requests that it delays. This avoids coordinated omission, as Gil Tene's wrk2 and
// HdrHistogram do.
package loadgen
