// Package keyspace maps keys to shards. A keyspace is the set of a service's keys that have the same home regions. All
// routing and placement decisions use a 64-bit hash of the key; the key itself never leaves the request.
package keyspace

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultShards is the number of shards of a service whose configuration does not set one.
const DefaultShards = 256

// MaxShards is the largest number of shards of a service. It bounds the table that every host keeps for each keyspace.
const MaxShards = 65536

// allRegions replaces the list of regions in the ID of a keyspace that has no home regions.
const allRegions = "*"

// ID returns the ID of the keyspace of service with the given home regions, for instance "desk/busan+seoul". The order of
// homeRegions does not matter; an empty list means all regions.
func ID(service string, homeRegions []string) string {
	if len(homeRegions) == 0 {
		return service + "/" + allRegions
	}
	regions := slices.Clone(homeRegions)
	slices.Sort(regions)
	return service + "/" + strings.Join(slices.Compact(regions), "+")
}

// Hash returns the hash of a tenant's key. The zero byte between them gives ("ab", "c") and ("a", "bc") different hashes.
func Hash(tenant, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a Digest never return an error.
	_, _ = digest.WriteString(tenant)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Shard returns the shard that a key hash belongs to. The number of shards must be a power of two.
func Shard(hash uint64, shards uint32) uint32 {
	return uint32(hash & uint64(shards-1)) //nolint:gosec // the mask keeps the value below shards
}
