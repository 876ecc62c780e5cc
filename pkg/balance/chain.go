package balance

// Distance is how far a target is from this host.
type Distance int

// Distances.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// FallbackOrder lists, for each attempt, the distances in the order in which they are looked at. The last entry also holds for
// all later attempts.
type FallbackOrder [][]Distance

// DefaultFallbackOrder stays in the data centre for the first attempt, because another region costs 12 ms and billed volume.
// Each further attempt goes one step further away, because a fault is often shared by the targets of one place.
var DefaultFallbackOrder = FallbackOrder{
	{SameDataCentre, SameRegion, OtherRegion},
	{SameRegion, SameDataCentre, OtherRegion},
	{OtherRegion, SameRegion, SameDataCentre},
}

func (c FallbackOrder) order(attempt int) []Distance {
	if len(c) == 0 {
		return nil
	}
	return c[min(max(attempt, 0), len(c)-1)]
}

func (o *Options) distanceTo(target Target) Distance {
	switch {
	case target.Region != o.Region:
		return OtherRegion
	case target.DataCentre != o.DataCentre:
		return SameRegion
	default:
		return SameDataCentre
	}
}
