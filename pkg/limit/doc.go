// Package limit admits requests to one target. A Gate holds the exact number of running requests, the queue, and the
// cold start ramp of one target. It refuses early what can't be answered in time, after "The Tail at Scale" (Dean and
// Barroso, 2013), and shares slots between tenants by deficit round robin (Shreedhar and Varghese, 1995). Every refusal
// is an apierr.Refusal with ran = not-run, because nothing that the gate refuses has been sent.
package limit
