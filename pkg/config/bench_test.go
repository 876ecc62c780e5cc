package config_test

import (
	"fmt"
	"strings"
	"testing"

	"almondrock.example/almondrock/pkg/config"
)

// largeBase returns a base file for the largest deployment that docs/design.md section 1.3 allows for: 7 regions and
// 23 data centres, with so many services and tenants that the file nearly reaches MaxFileBytes.
func largeBase() []byte {
	var text strings.Builder
	text.WriteString("regions:\n")
	for i := range 7 {
		fmt.Fprintf(&text, "  - {name: r%d}\n", i)
	}
	text.WriteString("data_centres:\n")
	for i := range 23 {
		fmt.Fprintf(&text, "  - {name: dc%d, region: r%d}\n", i, i%7)
	}
	text.WriteString("tenants:\n")
	for i := range 5000 {
		fmt.Fprintf(&text, "  - {name: tenant-%d, home_regions: [r%d, r%d]}\n", i, i%7, (i+1+i%6)%7)
	}
	text.WriteString("services:\n")
	for i := range 200 {
		fmt.Fprintf(&text, "  - name: service-%d\n    kind: exclusive\n    routes:\n", i)
		for j := range 5 {
			fmt.Fprintf(&text, "      - {path_prefix: /route-%d, class: booking}\n", j)
		}
	}
	return []byte(text.String())
}

func BenchmarkLoadLarge(b *testing.B) {
	file := config.SourceFile{Name: "base.yaml", Content: largeBase()}
	for b.Loop() {
		if _, problems := config.Load(file, nil); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

func BenchmarkCompileLarge(b *testing.B) {
	configuration, _ := config.Load(config.SourceFile{Name: "base.yaml", Content: largeBase()}, nil)
	for b.Loop() {
		if _, err := config.Compile(configuration); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDangersLarge(b *testing.B) {
	configuration, _ := config.Load(config.SourceFile{Name: "base.yaml", Content: largeBase()}, nil)
	for b.Loop() {
		if found := config.FindDangerousChanges(configuration, configuration); len(found) > 0 {
			b.Fatal(found)
		}
	}
}
