// Package capacity holds the benchmarks behind docs/CAPACITY.md. Each measures a cost at three sizes or more, so that the
// slope to the size of the plan can be read off. It has no code of its own.
package capacity
