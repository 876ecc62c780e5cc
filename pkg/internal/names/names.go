// Package names validates names of hosts, data centres, regions, tenants and services.
package names

import "regexp"

// Rule describes valid names in error messages.
const Rule = "1 to 63 of a-z, 0-9 and -, not - at the ends"

// Names are parts of keyspace IDs, URL paths and comma-separated lists, so they can't contain the separators of these.
var pattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Valid reports whether name follows Rule.
func Valid(name string) bool { return pattern.MatchString(name) }
