// Package limit implements admission control. A Gate limits the requests that run at one target: it counts the running
// requests, queues the waiting ones, and limits the rate during the target's cold start. It refuses requests early that
// can't be answered in time, after "The Tail at Scale" (Dean and Barroso, 2013), and shares slots between tenants by
// deficit round robin (Shreedhar and Varghese, 1995). Every refusal is an apierr.Refusal with ran = not-run, because
// refused requests have not been sent. A ConcurrencyLimit bounds the requests that one host serves at once.
package limit
