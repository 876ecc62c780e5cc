package config_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// validBase is a valid base file. Each case below replaces parts of it to introduce mistakes.
const validBase = `regions:
  - name: east
  - name: west
data_centres:
  - {name: east-1, region: east}
  - {name: west-1, region: west}
tenants:
  - name: farm
    home_regions: [east]
services:
  - name: desk
    kind: exclusive
    shards: 16
    routes:
      - path_prefix: /orders
        class: booking
        deadline_ms: 5000
`

const validOverlay = "data_centre: east-1\nout: false\n"

// replaceEach replaces the first occurrence of each old text by the new text that follows it in pairs.
func replaceEach(text string, pairs ...string) string {
	for i := 0; i < len(pairs); i += 2 {
		Expect(text).To(ContainSubstring(pairs[i]))
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

// load loads the files and returns the configuration and the formatted problems.
func load(base string, overlays ...string) (*schemav1.Configuration, []string) {
	files := make([]config.SourceFile, len(overlays))
	for i, overlay := range overlays {
		files[i] = config.SourceFile{Name: "site" + string(rune('1'+i)) + ".yaml", Content: []byte(overlay)}
	}
	configuration, problems := config.Load(config.SourceFile{Name: "base.yaml", Content: []byte(base)}, files)
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = config.FormatProblem(problem)
	}
	return configuration, lines
}

// Operators correct files by the messages alone, so each mistake must be reported with an exact message and position.
var _ = DescribeTable("mistakes in the base file",
	func(pairs []string, expected ...string) {
		configuration, lines := load(replaceEach(validBase, pairs...))
		Expect(lines).To(Equal(expected))
		Expect(configuration).To(BeNil())
	},
	Entry("unknown field with a similar name", []string{"kind: exclusive", "kinds: exclusive"},
		`base.yaml:12:5: "kinds" is not a field of a service (unknown-field); did you mean kind?`,
	),
	Entry("unknown field without a similar name", []string{"    shards: 16", "    replication: 16"},
		`base.yaml:13:5: "replication" is not a field of a service (unknown-field); the fields are name, kind, shards, home_regions, on_partition, routes, limits`,
	),
	Entry("unknown field at the top level", []string{"tenants:", "tenant:"},
		`base.yaml:7:1: "tenant" is not a field of the base file (unknown-field); did you mean tenants?`,
	),
	Entry("key that is not a name", []string{"tenants:", "12:"},
		`base.yaml:7:1: "12" is not a field name (unknown-field); write a field name of the schema`,
	),
	Entry("duplicate field", []string{"    kind: exclusive\n", "    kind: exclusive\n    kind: shared\n"},
		`base.yaml:13:5: "kind" is set twice; the first is on line 12 (duplicate-field); keep one of them`,
	),
	Entry("duplicate service", []string{"services:\n", "services:\n  - {name: desk, kind: shared, routes: [{path_prefix: /, class: file}]}\n"},
		`base.yaml:12:5: services[1].name repeats "desk" of line 11 (duplicate-name); use another name or remove one of them`,
	),
	Entry("duplicate data centre", []string{"west-1", "east-1"},
		`base.yaml:6:6: data_centres[1].name repeats "east-1" of line 5 (duplicate-name); use another name or remove one of them`,
	),
	Entry("duplicate route that differs only in a trailing slash", []string{"    routes:\n", "    routes:\n      - {path_prefix: /orders/, class: file}\n"},
		`base.yaml:16:9: services[0].routes[1].path_prefix repeats "/orders" of line 15 (duplicate-name); use another name or remove one of them`,
	),
	Entry("duplicate home region", []string{"[east]", "[east, east]"},
		`base.yaml:9:26: tenants[0].home_regions[1] repeats "east" (duplicate-name); remove it`,
	),
	Entry("duplicate class", []string{"tenants:", "classes: [{name: file}, {name: file}]\ntenants:"},
		`base.yaml:7:26: classes[1].name repeats "file" of line 7 (duplicate-name); use another name or remove one of them`,
	),
	Entry("revision set in the file", []string{"regions:", "revision: 4\nregions:"},
		"base.yaml:1:1: revision is set by the control group (misplaced-field); remove the field",
	),
	Entry("text instead of a number", []string{"shards: 16", "shards: many"},
		`base.yaml:13:13: services[0].shards must be a whole number, not the text "many" (wrong-type); write a whole number`,
	),
	Entry("quoted number", []string{"shards: 16", `shards: "16"`},
		`base.yaml:13:13: services[0].shards must be a whole number, not the text "16" (wrong-type); write a whole number`,
	),
	Entry("hexadecimal number", []string{"shards: 16", "shards: 0x10"},
		"base.yaml:13:13: services[0].shards must be a whole number, not the number 0x10 (wrong-type); write a whole number",
	),
	Entry("fraction", []string{"shards: 16", "shards: 16.0"},
		"base.yaml:13:13: services[0].shards must be a whole number, not the number 16.0 (wrong-type); write a whole number",
	),
	Entry("number instead of text", []string{"name: farm", "name: 12"},
		"base.yaml:8:11: tenants[0].name must be text, not the number 12 (wrong-type); write text",
	),
	Entry("text instead of true or false", []string{"west-1, region: west", "west-1, region: west, out: yes please"},
		`base.yaml:6:39: data_centres[1].out must be true or false, not the text "yes please" (wrong-type); write true or false`,
	),
	Entry("list instead of a mapping", []string{"services:", "limits: [1]\nservices:"},
		"base.yaml:10:9: limits must be a mapping of fields, not a list (wrong-type); write a mapping of fields",
	),
	Entry("mapping instead of a list", []string{"home_regions: [east]", "home_regions: {east: 1}"},
		"base.yaml:9:20: tenants[0].home_regions must be a list, not a mapping (wrong-type); write a list",
	),
	Entry("empty value", []string{"kind: exclusive", "kind:"},
		"base.yaml:12:10: services[0].kind must be one of exclusive, shared, not an empty value (wrong-type); write one of exclusive, shared",
	),
	Entry("list item among fields", []string{"regions:\n  - name: east\n  - name: west\n", "- regions\n"},
		"base.yaml:2:1: value is not allowed in this context (syntax); check the YAML syntax",
	),
	Entry("unknown enum value with a similar name", []string{"kind: exclusive", "kind: exklusive"},
		`base.yaml:12:11: services[0].kind can't be "exklusive" (unknown-value); did you mean exclusive?`,
	),
	Entry("unknown enum value without a similar name", []string{"class: booking", "class: slow"},
		`base.yaml:16:16: services[0].routes[0].class can't be "slow" (unknown-value); write one of interactive, booking, file`,
	),
	Entry("unit in the value", []string{"deadline_ms: 5000", "deadline_ms: 5s"},
		`base.yaml:17:22: services[0].routes[0].deadline_ms is a number of milliseconds, not "5s" (wrong-unit); write deadline_ms: 5000`,
	),
	Entry("unit in the value, bytes", []string{"deadline_ms: 5000", "max_body_bytes: 1.5 MiB"},
		`base.yaml:17:25: services[0].routes[0].max_body_bytes is a number of bytes, not "1.5 MiB" (wrong-unit); write max_body_bytes: 1572864`,
	),
	Entry("field name without its unit", []string{"deadline_ms: 5000", "deadline: 5s"},
		"base.yaml:17:9: deadline is not a field; deadline_ms is a number of milliseconds (wrong-unit); write deadline_ms: 5000",
	),
	Entry("field name without its unit, link", []string{"- name: east\n", "- name: east\n    link: 30\n"},
		"base.yaml:3:5: link is not a field; link_mbit is a number of Mbit/s (wrong-unit); write link_mbit",
	),
	Entry("number below the range", []string{"deadline_ms: 5000", "deadline_ms: 0"},
		"base.yaml:17:22: services[0].routes[0].deadline_ms can't be 0 (out-of-range); write a number from 1 to 3600000",
	),
	Entry("number above the range", []string{"deadline_ms: 5000", "deadline_ms: 3600001"},
		"base.yaml:17:22: services[0].routes[0].deadline_ms can't be 3600001 (out-of-range); write a number from 1 to 3600000",
	),
	Entry("negative number", []string{"shards: 16", "shards: -16"},
		"base.yaml:13:13: services[0].shards can't be -16 (out-of-range); write a number from 1 to 65536",
	),
	Entry("number beyond 64 bits", []string{"shards: 16", "shards: 99999999999999999999"},
		"base.yaml:13:13: services[0].shards can't be 99999999999999999999 (out-of-range); write a number from 1 to 65536",
	),
	Entry("shards above the range", []string{"shards: 16", "shards: 131072"},
		"base.yaml:13:13: services[0].shards can't be 131072 (out-of-range); write a number from 1 to 65536",
	),
	Entry("shards not a power of two", []string{"shards: 16", "shards: 100"},
		"base.yaml:13:5: services[0].shards must be a power of two, not 100 (power-of-two); write shards: 128",
	),
	Entry("name with capitals", []string{"name: farm", "name: Farm"},
		`base.yaml:8:5: tenants[0].name can't be "Farm" (bad-name); use 1 to 63 of a-z, 0-9 and -, not - at the ends`,
	),
	Entry("empty name", []string{"name: farm", `name: ""`},
		"base.yaml:8:5: tenants[0].name can't be empty (bad-name); use 1 to 63 of a-z, 0-9 and -, not - at the ends",
	),
	Entry("path without a slash", []string{"/orders", "orders"},
		`base.yaml:15:9: services[0].routes[0].path_prefix "orders" does not start with / (bad-path); write a path such as /bookings`,
	),
	Entry("path with dot segments", []string{"/orders", "/orders/../lookups"},
		`base.yaml:15:9: services[0].routes[0].path_prefix "/orders/../lookups" has a dot segment (bad-path); write a path such as /bookings`,
	),
	Entry("method in lower case", []string{"deadline_ms: 5000", "idempotent_methods: [post]"},
		`base.yaml:17:30: services[0].routes[0].idempotent_methods[0] can't be "post" (bad-method); write the method in upper case, such as POST`,
	),
	Entry("method that is idempotent by RFC 9110", []string{"deadline_ms: 5000", "idempotent_methods: [PUT]"},
		"base.yaml:17:30: PUT is idempotent by RFC 9110 already (bad-method); remove it",
	),
	Entry("method that is refused", []string{"deadline_ms: 5000", "idempotent_methods: [CONNECT]"},
		"base.yaml:17:30: CONNECT is refused by every service (bad-method); remove it",
	),
	Entry("method twice", []string{"deadline_ms: 5000", "idempotent_methods: [POST, POST]"},
		`base.yaml:17:36: services[0].routes[0].idempotent_methods[1] repeats "POST" (duplicate-name); remove it`,
	),
	Entry("unknown region of a data centre", []string{"region: west", "region: wst"},
		`base.yaml:6:20: data_centres[1].region names the unknown region "wst" (unknown-region); did you mean west?`,
	),
	Entry("unknown home region", []string{"[east]", "[north]"},
		`base.yaml:9:20: tenants[0].home_regions[0] names the unknown region "north" (unknown-region); known are east, west`,
	),
	Entry("empty home regions", []string{"[east]", "[]"},
		"base.yaml:9:5: tenants[0].home_regions is empty (missing); leave the field out to allow all regions",
	),
	Entry("region without a data centre", []string{"  - name: west\n", "  - name: west\n  - name: south\n"},
		`base.yaml:4:5: region "south" has no data centre (empty-region); add a data centre to the region or remove the region`,
	),
	Entry("tenant and service without a common region", []string{"    shards: 16\n", "    home_regions: [west]\n"},
		`base.yaml:9:5: tenants[0].home_regions has no region in common with service "desk" (no-common-region); name a region of the service's home_regions`,
	),
	Entry("route and service without a common region", []string{"    kind: exclusive\n", "    kind: shared\n    home_regions: [east]\n", "        deadline_ms: 5000\n", "        home_regions: [west]\n"},
		`base.yaml:18:9: services[0].routes[0].home_regions has no region in common with service "desk" (no-common-region); name a region of the service's home_regions`,
	),
	Entry("tenant and route without a common region", []string{"        deadline_ms: 5000\n", "        home_regions: [west]\n        separate_keys: true\n"},
		`base.yaml:9:5: tenants[0].home_regions has no region in common with route "/orders" of service "desk" (no-common-region); name a region of the route's home_regions`,
	),
	Entry("route home regions without separate keys", []string{"        deadline_ms: 5000\n", "        home_regions: [east]\n"},
		"base.yaml:17:9: services[0].routes[0].home_regions needs separate_keys: true in an exclusive service, or one key has two owners (separate-keys); write separate_keys: true if keys under this route differ from all others, or remove home_regions",
	),
	Entry("move on partition", []string{"    shards: 16\n", "    on_partition: move\n"},
		"base.yaml:13:5: services[0].on_partition: move is not supported in this release (unsupported); write on_partition: hold",
	),
	Entry("unknown danger in allow", []string{"services:", "allow: [remove-servce]\nservices:"},
		`base.yaml:10:9: "remove-servce" is not a danger that can be allowed (unknown-allow); did you mean remove-service?`,
	),
	Entry("danger that can't be allowed", []string{"services:", "allow: [tenant-home-regions]\nservices:"},
		`base.yaml:10:9: "tenant-home-regions" is not a danger that can be allowed (unknown-allow); known are all-data-centres-out, data-centre-lost, last-data-centre, remove-data-centre, remove-region, remove-service, shard-count`,
	),
	Entry("limit of a host set for a service", []string{"    shards: 16\n", "    limits: {max_callers: 5}\n"},
		"base.yaml:13:14: max_callers can't be set here (misplaced-field); set it in limits of the base file",
	),
	Entry("limit of a request set for a data centre", []string{"region: west", "region: west, limits: {deadline_ms: 5}"},
		"base.yaml:6:43: deadline_ms can't be set here (misplaced-field); set it in limits of the base file",
	),
	Entry("missing name", []string{"  - name: farm\n    home", "  - home"},
		"base.yaml:8:5: tenants[0].name is missing (missing); write name: NAME",
	),
	Entry("missing kind", []string{"    kind: exclusive\n", ""},
		"base.yaml:11:5: services[0].kind is missing (missing); write kind: exclusive or kind: shared",
	),
	Entry("missing region", []string{"west-1, region: west", "west-1"},
		"base.yaml:6:6: data_centres[1].region is missing (missing); write region: NAME",
	),
	Entry("missing path and class", []string{"      - path_prefix: /orders\n        class: booking\n        deadline", "      - deadline"},
		"base.yaml:15:9: services[0].routes[0].class is missing (missing); write class: interactive, booking or file",
		"base.yaml:15:9: services[0].routes[0].path_prefix is missing (missing); write path_prefix: /PATH",
	),
	Entry("missing class name", []string{"tenants:", "classes: [{deadline_ms: 5}]\ntenants:"},
		"base.yaml:7:12: classes[0].name is missing (missing); write name: interactive, booking or file",
	),
	Entry("empty routes", []string{"    routes:\n      - path_prefix: /orders\n        class: booking\n        deadline_ms: 5000\n", "    routes: []\n"},
		"base.yaml:14:5: services[0].routes is empty (missing); list at least one route, such as path_prefix: /",
	),
	Entry("missing routes", []string{"    routes:\n      - path_prefix: /orders\n        class: booking\n        deadline_ms: 5000\n", ""},
		"base.yaml:11:5: services[0].routes is missing (missing); list at least one route, such as path_prefix: /",
	),
	Entry("anchor and alias", []string{"[east]", "&home [east]", "    shards: 16", "    home_regions: *home"},
		"base.yaml:9:19: anchors are not supported (yaml-feature); write the value out in full",
		"base.yaml:13:19: aliases are not supported (yaml-feature); write the value out in full",
	),
	Entry("merge key", []string{"    shards: 16", "    <<: {shards: 16}"},
		"base.yaml:13:5: merge keys are not supported (yaml-feature); write the value out in full",
	),
	Entry("tag", []string{"shards: 16", "shards: !!int 16"},
		"base.yaml:13:13: tags are not supported (yaml-feature); write the value out in full",
	),
	Entry("two documents", []string{"services:", "---\nservices:"},
		"base.yaml:11:1: the file has more than one YAML document (syntax); keep one document per file",
	),
	Entry("bad syntax", []string{"[east]", "[east"},
		"base.yaml:10:1: ',' or ']' must be specified (syntax); check the YAML syntax",
	),
	Entry("several mistakes in the order of the lines", []string{"region: west", "region: north", "kind: exclusive", "knd: exclusive", "shards: 16", "shards: 17", "class: booking", "class: bookings", "deadline_ms: 5000", "deadline: 5s"},
		`base.yaml:6:20: data_centres[1].region names the unknown region "north" (unknown-region); known are east, west`,
		`base.yaml:12:5: "knd" is not a field of a service (unknown-field); did you mean kind?`,
		"base.yaml:13:5: services[0].shards must be a power of two, not 17 (power-of-two); write shards: 32",
		`base.yaml:16:16: services[0].routes[0].class can't be "bookings" (unknown-value); did you mean booking?`,
		"base.yaml:17:9: deadline is not a field; deadline_ms is a number of milliseconds (wrong-unit); write deadline_ms: 5000",
	),
)

var _ = DescribeTable("mistakes in overlays",
	func(overlays []string, expected ...string) {
		_, lines := load(validBase, overlays...)
		Expect(lines).To(Equal(expected))
	},
	Entry("field of the base file", []string{"data_centre: east-1\nservices: []\n"},
		"site1.yaml:2:1: services can't be set by a site (not-in-overlay); set it in the base file",
	),
	Entry("field of a data centre in the base file", []string{"data_centre: east-1\nregion: west\n"},
		"site1.yaml:2:1: region can't be set by a site (not-in-overlay); set it in the base file",
	),
	Entry("limit that an overlay can't set", []string{"data_centre: east-1\nlimits:\n  deadline_ms: 50\n  max_queue: 5\n"},
		"site1.yaml:3:3: deadline_ms can't be set by a site (not-in-overlay); set it in limits of the base file",
	),
	Entry("unknown field", []string{"data_centre: east-1\nouts: true\n"},
		`site1.yaml:2:1: "outs" is not a field of an overlay (unknown-field); did you mean out?`,
	),
	Entry("link without its unit", []string{"data_centre: east-1\nlink: 10Mbit/s\n"},
		"site1.yaml:2:1: link is not a field; link_mbit is a number of Mbit/s (wrong-unit); write link_mbit: 10",
	),
	Entry("unknown data centre", []string{"data_centre: east-2\nout: true\n"},
		`site1.yaml:1:1: the base file has no data centre "east-2" (unknown-site); did you mean east-1?`,
	),
	Entry("missing data centre", []string{"out: true\n"},
		"site1.yaml:1:1: the overlay does not name its data_centre (missing); write data_centre: NAME",
	),
	Entry("empty file", []string{"# nothing\n"},
		"site1.yaml:1:1: the file is empty (missing); write the file's fields",
	),
	Entry("two overlays for one data centre", []string{"data_centre: east-1\n", "data_centre: east-1\n"},
		`site2.yaml:1:1: "east-1" has another overlay, site1.yaml (duplicate-name); keep one file per site`,
	),
	Entry("mistakes in two files", []string{"data_centre: east-1\nout: 1\n", "data_centre: west-1\nout: 2\n"},
		"site1.yaml:2:6: out must be true or false, not the number 1 (wrong-type); write true or false",
		"site2.yaml:2:6: out must be true or false, not the number 2 (wrong-type); write true or false",
	),
)
