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

// example reads the files of one user under examples.
func example(user string) (config.SourceFile, []config.SourceFile) {
	folder := filepath.Join("..", "..", "examples", user)
	read := func(path string) config.SourceFile {
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		return config.SourceFile{Name: filepath.Base(path), Content: content}
	}
	paths, err := filepath.Glob(filepath.Join(folder, "overlays", "*.yaml"))
	Expect(err).NotTo(HaveOccurred())
	overlays := make([]config.SourceFile, len(paths))
	for i, path := range paths {
		overlays[i] = read(path)
	}
	return read(filepath.Join(folder, "base.yaml")), overlays
}

// An example that the loader refuses would make the first step of the documentation fail.
var _ = DescribeTable("examples load and compile",
	func(user string, services []string, sites int) {
		base, overlays := example(user)
		Expect(overlays).To(HaveLen(sites))
		configuration, problems := config.Load(base, overlays)
		Expect(problems).To(BeEmpty())
		snapshot, err := config.Compile(configuration)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.DataCentresFor(nil)).To(HaveLen(sites))
		for i, service := range snapshot.Configuration().GetServices() {
			Expect(service.GetName()).To(Equal(services[i]))
			Expect(service.GetKind()).To(Equal(schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE))
		}
	},
	Entry("alliance", "alliance", []string{"fitting-desk", "lookbook"}, 4),
	Entry("utility", "utility", []string{"workshop-desk", "manual-library"}, 4),
)
