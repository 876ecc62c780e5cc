// Package retry decides whether a failed request is sent again and whether a pending one is hedged. The decisions are pure
// functions of their inputs; clocks and randomness are passed in. The rules follow RFC 9110 section 9.2.2, and hedging
// follows "The Tail at Scale" (Dean and Barroso, 2013).
package retry
