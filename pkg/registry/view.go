package registry

import (
	"cmp"
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// MergeRanges returns the key ranges of a view after an update with the changed ones, in the order of their first keys. A range replaces
// the one with the same first key. Ranges are split but never joined, so first keys only come in addition.
func MergeRanges(known, changed []*schemav1.KeyRange) []*schemav1.KeyRange {
	return mergeSorted(known, changed, func(a, b *schemav1.KeyRange) int { return cmp.Compare(a.GetFirst(), b.GetFirst()) }, nil)
}

// MergeEntryHosts returns the entry hosts of a view after an update with the changed ones, in the order of their names. An entry host
// without a data centre has been removed.
func MergeEntryHosts(known, changed []*schemav1.EntryHost) []*schemav1.EntryHost {
	byName := func(a, b *schemav1.EntryHost) int { return cmp.Compare(a.GetName(), b.GetName()) }
	return mergeSorted(known, changed, byName, func(h *schemav1.EntryHost) bool { return h.GetDataCentre() == "" })
}

// mergeSorted merges changed into a copy of known, which is sorted by compare. Elements for which removed reports true are left out.
func mergeSorted[T any](known, changed []T, compare func(a, b T) int, removed func(T) bool) []T {
	merged := slices.Clone(known)
	for _, next := range changed {
		at, found := slices.BinarySearchFunc(merged, next, compare)
		drop := removed != nil && removed(next)
		switch {
		case found && drop:
			merged = slices.Delete(merged, at, at+1)
		case found:
			merged[at] = next
		case !drop:
			merged = slices.Insert(merged, at, next)
		}
	}
	return merged
}
