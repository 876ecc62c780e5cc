// Package retry decides whether a failed attempt is sent again or hedged. Decisions are pure functions of what is known
// about the request; clocks and randomness are passed in. The rules follow RFC 9110 section 9.2.2, and hedging follows
// "The Tail at Scale" (Dean and Barroso, 2013).
package retry
