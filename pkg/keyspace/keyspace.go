// Package keyspace maps keys to shards. A keyspace is the set of a service's keys that share the same home regions;
// a key's name never leaves the request, only its 64-bit hash is used for decisions.
package keyspace

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultShards is the number of shards of a service that states none.
const DefaultShards = 256

// MaxShards bounds the table that every host of a data centre keeps per keyspace.
const MaxShards = 65536

// anyRegion stands for a keyspace without home regions.
const anyRegion = "*"

// ID names the keyspace of service for the given home regions; no regions means all.
func ID(service string, homeRegions []string) string {
	if len(homeRegions) == 0 {
		return service + "/" + anyRegion
	}
	regions := slices.Clone(homeRegions)
	slices.Sort(regions)
	return service + "/" + strings.Join(slices.Compact(regions), "+")
}

// Hash returns the hash of a tenant's key. The zero byte keeps ("ab", "c") apart from ("a", "bc").
func Hash(tenant, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Digest's writes never fail.
	_, _ = digest.WriteString(tenant)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Shard returns the shard of a key hash among shards, a power of two.
func Shard(hash uint64, shards uint32) uint32 {
	return uint32(hash & uint64(shards-1)) //nolint:gosec // the mask keeps the value below shards
}
