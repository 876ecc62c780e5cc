package host

import (
	"cmp"
	"slices"
	"strings"
)

// seed is one of the first members of the control group.
type seed struct {
	name, address string
}

// parseSeeds reads "NAME=IP:PORT,NAME=IP:PORT"; the result is in name order, so that all members agree on it.
func parseSeeds(list string) ([]seed, error) {
	var seeds []seed
	for entry := range strings.SplitSeq(list, ",") {
		name, address, ok := strings.Cut(strings.TrimSpace(entry), "=")
		if !ok || name == "" || address == "" {
			return nil, &SeedError{Entry: entry}
		}
		seeds = append(seeds, seed{name: name, address: address})
	}
	slices.SortFunc(seeds, func(a, b seed) int { return cmp.Compare(a.name, b.name) })
	return seeds, nil
}
