// Package capacity contains the benchmarks behind docs/CAPACITY.md and no other code. Each benchmark measures a cost at three
// or more sizes, so that it can be extrapolated to the planned size.
package capacity
