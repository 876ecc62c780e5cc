// Package loadgen offers an open-loop load to an HTTP address on loopback and reports latencies and refusals. Requests
// are sent at intended times that don't depend on answers, and latency is counted from the intended time, so that a stall
// counts for all requests that it delays (coordinated omission, after Gil Tene's wrk2 and HdrHistogram).
package loadgen
