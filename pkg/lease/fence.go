package lease

import (
	"cmp"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// CompareFences compares two fencing tokens by epoch, then generation, then counter. It returns -1, 0 or 1 if a is lower
// than, equal to or higher than b.
func CompareFences(a, b *schemav1.Fence) int {
	return cmp.Or(
		cmp.Compare(a.GetEpoch(), b.GetEpoch()),
		cmp.Compare(a.GetGeneration(), b.GetGeneration()),
		cmp.Compare(a.GetCounter(), b.GetCounter()),
	)
}
