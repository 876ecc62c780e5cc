package config_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// readExample reads the base file and the overlays of the directory examples/USER.
func readExample(user string) (config.SourceFile, []config.SourceFile) {
	dir := filepath.Join("..", "..", "examples", user)
	read := func(path string) config.SourceFile {
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		return config.SourceFile{Name: filepath.Base(path), Content: content}
	}
	paths, err := filepath.Glob(filepath.Join(dir, "overlays", "*.yaml"))
	Expect(err).NotTo(HaveOccurred())
	overlays := make([]config.SourceFile, len(paths))
	for i, path := range paths {
		overlays[i] = read(path)
	}
	return read(filepath.Join(dir, "base.yaml")), overlays
}

// The documentation starts with the examples, so they must always load.
var _ = DescribeTable("examples load and compile",
	func(user string, services []string, dataCentres int) {
		base, overlays := readExample(user)
		Expect(overlays).To(HaveLen(dataCentres))
		configuration, problems := config.Load(base, overlays)
		Expect(problems).To(BeEmpty())
		snapshot, err := config.Compile(configuration)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.DataCentresFor(nil)).To(HaveLen(dataCentres))
		for i, service := range snapshot.Configuration().GetServices() {
			Expect(service.GetName()).To(Equal(services[i]))
			Expect(service.GetKind()).To(Equal(schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE))
		}
	},
	Entry("alliance", "alliance", []string{"fitting-desk", "lookbook"}, 4),
	Entry("utility", "utility", []string{"workshop-desk", "manual-library"}, 4),
)
