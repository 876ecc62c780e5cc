package lease

import (
	"cmp"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// CompareFences orders fences by epoch, generation and counter. It returns -1, 0 or 1.
func CompareFences(a, b *schemav1.Fence) int {
	return cmp.Or(
		cmp.Compare(a.GetEpoch(), b.GetEpoch()),
		cmp.Compare(a.GetGeneration(), b.GetGeneration()),
		cmp.Compare(a.GetCounter(), b.GetCounter()),
	)
}
