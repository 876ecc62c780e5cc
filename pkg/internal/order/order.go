// Package order provides comparison functions that package cmp lacks.
package order

// CompareBools compares like cmp.Compare, with false before true.
func CompareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
