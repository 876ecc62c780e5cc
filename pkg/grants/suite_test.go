package grants

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGrants(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Grants Suite")
}
