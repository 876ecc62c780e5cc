// Package target manages the targets that are attached to this host: their connections, shard grants, draining of shards,
// health reports and announcements. Only the attached host sends requests to a target, so its count of the requests in
// flight there is exact.
package target
