// Package slots schedules the slots of scarce targets. One entry host keeps a queue for a group of about 8 targets of a service. Other entry
// hosts ask it for a turn at one of them, send their request to the target that the turn names, and release the turn when the request has
// ended.
//
// The package does no I/O and starts no goroutines. Time is passed in as a duration since an arbitrary, fixed moment. A Group is not safe for
// concurrent use.
package slots
