package balance

// Distance is the distance of a target from this host.
type Distance int

// Distances.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// FallbackOrder lists, for each attempt of a request, the distances in the order in which they are searched for a target.
// The last entry also applies to all later attempts.
type FallbackOrder [][]Distance

// DefaultFallbackOrder prefers this data centre for the first attempt, because another region costs 12 ms and billed volume.
// Each further attempt prefers the next distance, because the targets of one location often share a fault.
var DefaultFallbackOrder = FallbackOrder{
	{SameDataCentre, SameRegion, OtherRegion},
	{SameRegion, SameDataCentre, OtherRegion},
	{OtherRegion, SameRegion, SameDataCentre},
}

// distances returns the distances to search for an attempt, counted from 0.
func (o FallbackOrder) distances(attempt int) []Distance {
	if len(o) == 0 {
		return nil
	}
	return o[min(max(attempt, 0), len(o)-1)]
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
