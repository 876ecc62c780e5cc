package wal

import (
	"os"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Directory of a log", func() {
	// Guards against a log that is lost with the name of its directory, which the first process created but did not sync.
	It("is made durable by each start, because the start that created it may have ended before", func() {
		parent := GinkgoT().TempDir()
		path := filepath.Join(parent, "registry")
		_, err := newDirFS(path, func(string) error { return syscall.EIO })
		Expect(err).To(HaveOccurred())
		Expect(os.Stat(path)).NotTo(BeNil())
		var synced []string
		_, err = newDirFS(path, func(path string) error { synced = append(synced, path); return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(synced).To(ConsistOf(parent))
	})
})
