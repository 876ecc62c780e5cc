package router_test

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/cli/router"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

func runTrialCerts(args ...string) (string, error) {
	var out bytes.Buffer
	root := router.Command()
	root.SetArgs(append([]string{"trial-certs"}, args...))
	root.SetOut(&out)
	err := root.Execute()
	return out.String(), err
}

var _ = Describe("trial-certs", func() {
	// Users paste the printed flags into commands, so the files must be loadable together.
	It("writes loadable files and prints the flags that name them", func() {
		dir := GinkgoT().TempDir()
		out, err := runTrialCerts("--folder", dir, "--hosts", "east-1/h1,east-1/h2", "--operators", "ana")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("almondrock://operator/ana: --tls-certificate " + dir + "/operator+ana.pem --tls-key "))
		source, err := tlsconfig.Open(tlsconfig.Files{
			Certificate: dir + "/east-1+host+h2.pem", Key: dir + "/east-1+host+h2.key", Authorities: dir + "/authorities.pem",
		}, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(source.Identity()).To(Equal(tlsconfig.Identity{DataCentre: "east-1", Name: "h2"}))
	})

	DescribeTable("refuses", func(args ...string) {
		_, err := runTrialCerts(append([]string{"--folder", GinkgoT().TempDir()}, args...)...)
		Expect(errors.As(err, new(*tlsconfig.IdentityError))).To(BeTrue(), "%v", err)
	},
		Entry("a host without a data centre", "--hosts", "h1"),
		Entry("a name with characters that are not allowed", "--operators", "a b"),
	)
})
