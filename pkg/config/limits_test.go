package config_test

import (
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/config"
)

// The YAML parser recurses once per level and keeps several times the text in memory, so an unbounded file could end
// the process of every member of the control group.
var _ = DescribeTable("limits of a file",
	func(content func() string, expected string) {
		_, lines := load(content())
		Expect(lines).To(Equal([]string{expected}))
	},
	Entry("size", func() string { return validBase + "#" + strings.Repeat("x", 1<<20) },
		"base.yaml:1:1: the file has 1048895 bytes; the limit is 1048576 (file-size); split the file"),
	Entry("flow lists", func() string { return "regions: " + strings.Repeat("[", 50_000) },
		"base.yaml:1:29: the file nests deeper than 20 levels (nesting); use the fields of the schema only"),
	Entry("flow mappings", func() string { return "regions: " + strings.Repeat("{a: ", 10_000) },
		"base.yaml:1:86: the file nests deeper than 20 levels (nesting); use the fields of the schema only"),
	Entry("block lists", func() string { return "regions:\n  " + strings.Repeat("- ", 20_000) + "x" },
		"base.yaml:2:41: the file nests deeper than 20 levels (nesting); use the fields of the schema only"),
	Entry("block mappings", func() string {
		var text strings.Builder
		for depth := range 40 {
			text.WriteString(strings.Repeat(" ", depth) + "a:\n")
		}
		return text.String()
	}, "base.yaml:21:22: the file nests deeper than 20 levels (nesting); use the fields of the schema only"),
	Entry("explicit keys", func() string { return strings.Repeat("? ", 10_000) + "a" },
		"base.yaml:1:41: the file nests deeper than 20 levels (nesting); use the fields of the schema only"),
	Entry("fields of one mapping", func() string { return strings.Repeat("a: 1\n", 20_000) },
		"base.yaml:1001:2: a mapping has more than 1000 fields (file-size); use the fields of the schema only"),
	Entry("keys without values", func() string { return strings.Repeat("? a\n", 20_000) },
		"base.yaml:1001:1: a mapping has more than 1000 fields (file-size); use the fields of the schema only"),
	Entry("not UTF-8", func() string { return "regions: \xff" },
		"base.yaml:1:1: the file is not UTF-8 text (syntax); save the file as UTF-8"),
	Entry("empty", func() string { return "" },
		"base.yaml:1:1: the file is empty (missing); write the file's fields"),
)

// A report without a bound would be larger than the file.
var _ = It("cuts the report after 1,000 problems", func() {
	_, lines := load("allow: [" + strings.Repeat("x,", 5_000) + "]")
	Expect(lines).To(HaveLen(1001))
	Expect(lines[1000]).To(Equal("base.yaml: there are more than 1000 problems (too-many); correct the others first"))
})

// An operator who edits on another system still gets the right lines.
var _ = It("counts lines with a byte order mark and carriage returns", func() {
	base := "\ufeff" + strings.ReplaceAll(spoil(validBase, "shards: 16", "shards: 17"), "\n", "\r\n")
	_, lines := load(base)
	Expect(lines).To(ConsistOf(HavePrefix("base.yaml:13:5: ")))
})

// A configuration from another host is checked again, because a host of another release may check less.
var _ = It("refuses to compile what the loader would refuse", func() {
	configuration, lines := load(validBase)
	Expect(lines).To(BeEmpty())
	configuration.Services[0].Shards = 100
	configuration.Services[0].Routes[0].DeadlineMs = 4_000_000
	_, err := config.Compile(configuration)
	var invalid *config.ValidationError
	Expect(errors.As(err, &invalid)).To(BeTrue())
	Expect(invalid.Problems).To(HaveLen(2))
})
