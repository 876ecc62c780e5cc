package config_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/config"
)

// Files come from operators over the network: no text may end the process, and a text without problems must compile,
// since every host compiles what the control group has accepted. The corpus is in testdata/fuzz/FuzzLoad.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validBase), []byte(validOverlay))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		load := func() *config.LoadResult {
			overlays := []config.SourceFile{{Name: "site.yaml", Content: overlay}}
			return config.LoadFiles(config.SourceFile{Name: "base.yaml", Content: base}, overlays)
		}
		first := load()
		second := load()
		if (first.Configuration == nil) != (len(first.Problems) > 0) {
			t.Fatalf("configuration %v with %d problems", first.Configuration, len(first.Problems))
		}
		if len(first.Problems) != len(second.Problems) {
			t.Fatalf("%d problems, then %d", len(first.Problems), len(second.Problems))
		}
		for i := range first.Problems {
			if !proto.Equal(first.Problems[i], second.Problems[i]) {
				t.Fatalf("problem %d differs: %v, then %v", i, first.Problems[i], second.Problems[i])
			}
		}
		if first.Configuration == nil {
			return
		}
		if _, err := config.Compile(first.Configuration); err != nil {
			t.Fatalf("loaded without problems, but: %v", err)
		}
		if problems := first.CheckChange(first.Configuration); len(problems) > 0 {
			t.Fatalf("a change to itself has dangers: %v", problems)
		}
	})
}
