package config_test

import (
	"os"
	"path/filepath"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Operators look up rules, dangers and fields in docs/operators-files.md, so it must list all of them.
var _ = It("has all rules, dangers and fields in docs/operators-files.md", func() {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators-files.md"))
	Expect(err).NotTo(HaveOccurred())
	for _, source := range []string{"problem.go", "danger.go"} {
		code, err := os.ReadFile(source)
		Expect(err).NotTo(HaveOccurred())
		names := regexp.MustCompile(`(?m)^\t(?:Rule|Danger)\w+ .*= "([a-z-]+)"$`).FindAllSubmatch(code, -1)
		Expect(len(names)).To(BeNumerically(">", 10))
		for _, name := range names {
			Expect(string(page)).To(ContainSubstring("| `" + string(name[1]) + "` |"))
		}
	}
	messages := (&schemav1.Configuration{}).ProtoReflect().Descriptor().ParentFile().Messages()
	for _, message := range []string{"Configuration", "Region", "DataCentre", "Tenant", "Service", "Route", "Limits", "ClassLimits", "Overlay"} {
		for i := range messages.Len() {
			if string(messages.Get(i).Name()) != message {
				continue
			}
			for j := range messages.Get(i).Fields().Len() {
				if name := string(messages.Get(i).Fields().Get(j).Name()); name != "revision" {
					Expect(string(page)).To(MatchRegexp("[`.]" + name + "`"))
				}
			}
		}
	}
})
