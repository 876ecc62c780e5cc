package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/pflag"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// required are flags that make a host's settings complete.
var required = []string{"--name=h1", "--data-centre=east-1", "--region=east", "--seeds=h1=127.0.0.1:8082"}

func read(flags, environ []string) (*schemav1.HostSettings, error) {
	set := pflag.NewFlagSet("host", pflag.ContinueOnError)
	message := &schemav1.HostSettings{}
	settings.Register(set, message)
	Expect(set.Parse(flags)).To(Succeed())
	return message, settings.Read(set, environ, message)
}

func lines(err error) []string {
	var invalid *settings.ValidationError
	Expect(errors.As(err, &invalid)).To(BeTrue())
	return strings.Split(invalid.Error(), "\n")
}

// An operator who sets a value in two places must be able to tell which one holds.
var _ = Describe("precedence", func() {
	It("takes the flag, then the variable, then the default", func() {
		message, err := read(append(required, "--drain-seconds=5", "--log-decisions=false"),
			[]string{"ALMONDROCK_DRAIN_SECONDS=6", "ALMONDROCK_VERBOSITY=3", "OTHER=x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(message.GetDrainSeconds()).To(BeEquivalentTo(5))
		Expect(message.GetLogVerbosity()).To(BeEquivalentTo(3))
		Expect(message.GetLogDecisions()).To(BeFalse())
		Expect(message.GetListen()).To(Equal("127.0.0.1:8080"))
	})

	It("does not look at a variable that a flag overrides", func() {
		_, err := read(append(required, "--rpc=127.0.0.1:9"), []string{"ALMONDROCK_RPC=wrong"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("accepts the variables of other commands", func() {
		_, err := read(required, []string{"ALMONDROCK_OUTPUT=json"})
		Expect(err).NotTo(HaveOccurred())
	})
})

// Each wrong value is found before the process takes part in anything, with what to write instead.
var _ = DescribeTable("wrong values",
	func(flag, value, expected string) {
		_, err := read(append(required, "--"+flag+"="+value), nil)
		Expect(lines(err)).To(Equal([]string{
			"--" + flag + " (" + settings.VariableName(flag) + `): "` + value + `" from the flag; expected ` + expected,
		}))
	},
	Entry("host name in an address", "listen", "localhost:80", "IP:PORT such as 127.0.0.1:8080, without a host name"),
	Entry("no port", "admin", "127.0.0.1", "IP:PORT such as 127.0.0.1:8080, without a host name"),
	Entry("empty address", "admin", "", "a value such as 127.0.0.1:8083"),
	Entry("unspecified address", "rpc", "0.0.0.0:80", "IP:PORT that other processes can reach, such as 10.0.0.5:8082, without a host name"),
	Entry("port 0", "data", "10.0.0.1:0", "IP:PORT that other processes can reach, such as 10.0.0.5:8082, without a host name"),
	Entry("name", "name", "Host_1", "1 to 63 of a-z, 0-9 and -, not - at the ends"),
	Entry("required", "region", "", "a value, since it is required: region of the data centre"),
	Entry("members without names", "seeds", "127.0.0.1:80", "a comma-separated list of NAME=IP:PORT such as host-1=10.0.0.5:8082"),
	Entry("members with spaces", "seeds", "a=127.0.0.1:80, b=127.0.0.1:81", "a comma-separated list of NAME=IP:PORT such as host-1=10.0.0.5:8082"),
	Entry("members with one address", "seeds", "a=127.0.0.1:80,b=127.0.0.1:80", "NAME=IP:PORT with each name and each address once"),
	Entry("directory", "data-dir", "/nowhere/at/all", "a directory, or a new one in an existing directory"),
	Entry("directory that is a file", "data-dir", "settings_test.go", "a directory, or a new one in an existing directory"),
	Entry("file", "base", "missing.yaml", "an existing file"),
	Entry("file that is a directory", "base", ".", "an existing file"),
	Entry("one file of several", "overlays", "settings_test.go,missing.yaml", "a comma-separated list; each item an existing file"),
	Entry("number", "drain-seconds", "5s", "a whole number from 0 to 3600"),
	Entry("negative number", "drain-seconds", "-1", "a whole number from 0 to 3600"),
	Entry("number above the largest", "verbosity", "6", "a whole number from 0 to 5"),
	Entry("boolean", "log-decisions", "yes", "true or false"),
)

var _ = Describe("report", func() {
	It("has all wrong values at once, in the order of the schema, and never a secret", func() {
		_, err := read([]string{"--rpc=x", "--name=h1", "--announce-token=sec\x01ret"}, []string{
			"ALMONDROCK_LISTNE=1", "ALMONDROCK_ANOUNCE_TOKEN=topsecret", "ALMONDROCK_REGION=E!", "ALMONDROCK_XYZZYPLUGH=1",
		})
		Expect(lines(err)).To(Equal([]string{
			`--data-centre (ALMONDROCK_DATA_CENTRE): "" from the default; expected a value, since it is required: data centre of this host`,
			`--region (ALMONDROCK_REGION): "E!" from the variable; expected 1 to 63 of a-z, 0-9 and -, not - at the ends`,
			`--rpc (ALMONDROCK_RPC): "x" from the flag; expected IP:PORT that other processes can reach, such as 10.0.0.5:8082, without a host name`,
			`--seeds (ALMONDROCK_SEEDS): "" from the default; expected a value, since it is required: comma-separated NAME=IP:PORT of the control group's first members`,
			`--announce-token (ALMONDROCK_ANNOUNCE_TOKEN): (hidden) from the flag; expected text without control characters`,
			`ALMONDROCK_ANOUNCE_TOKEN: unknown variable; expected ALMONDROCK_ANNOUNCE_TOKEN`,
			`ALMONDROCK_LISTNE: unknown variable; expected ALMONDROCK_LISTEN`,
			`ALMONDROCK_XYZZYPLUGH: unknown variable; expected a variable that almondrock --help lists`,
		}))
	})

	It("refuses one address for two listeners", func() {
		_, err := read(append(required, "--admin=127.0.0.1:8080"), nil)
		Expect(lines(err)).To(Equal([]string{
			`--admin (ALMONDROCK_ADMIN): "127.0.0.1:8080" from the same place as --listen; expected an address of its own`,
		}))
	})
})

var _ = It("accepts existing paths, and prints settings without secrets", func() {
	folder := GinkgoT().TempDir()
	file := filepath.Join(folder, "base.yaml")
	Expect(os.WriteFile(file, nil, 0o600)).To(Succeed())
	message, err := read(append(required, "--data-dir="+filepath.Join(folder, "new"), "--base="+file, "--announce-token=hush"), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(message.GetAnnounceToken()).To(Equal("hush"))
	Expect(strings.Join(settings.Lines(message), " ")).To(SatisfyAll(ContainSubstring("announce-token=(hidden)"), Not(ContainSubstring("hush"))))
	Expect(settings.ParseMembers(message.GetSeeds())).To(Equal([]settings.Member{{Name: "h1", Address: "127.0.0.1:8082"}}))
})
