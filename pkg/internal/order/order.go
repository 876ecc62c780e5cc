// Package order has comparisons that package cmp does not offer.
package order

// CompareBools orders false before true; the result is like that of cmp.Compare.
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
