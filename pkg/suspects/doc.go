// Package suspects decides which requests are kept from the targets, because targets end when they run them. It has no clock and does no
// input or output of its own.
package suspects
