// Package names has the rule for names of hosts, data centres, regions, tenants and services.
package names

import "regexp"

// Rule describes Valid to a person.
const Rule = "1 to 63 of a-z, 0-9 and -, not - at the ends"

// A name stands in keyspace ids, paths and comma-separated lists, so it has none of their separators.
var pattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Valid tells whether name follows Rule.
func Valid(name string) bool { return pattern.MatchString(name) }
