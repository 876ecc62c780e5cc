// Package config compiles the operators' files to an immutable lookup snapshot.
package config

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Resolution is what the configuration says about one request.
type Resolution struct {
	Service     *schemav1.Service
	Route       *schemav1.Route
	Tenant      *schemav1.Tenant
	Keyspace    string
	HomeRegions []string
	Shards      uint32
	Idempotent  bool
	Safe        bool
	Deadline    time.Duration
	MaxBody     int64
	Class       schemav1.RequestClass
}

// Keyspace is one set of home regions in use in a service.
type Keyspace struct {
	ID          string
	Service     string
	HomeRegions []string
	Shards      uint32
	Exclusive   bool
}
