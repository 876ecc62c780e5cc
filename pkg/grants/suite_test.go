package grants

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGrants(t *testing.T) {
	// Property tests run with the same values every time, unless another seed is given.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				t.Fatal(err)
			}
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Grants Suite")
}
