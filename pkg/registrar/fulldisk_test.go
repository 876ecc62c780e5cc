package registrar

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

// fullableFS refuses, while it is full, all writes and new files, after it has written a part.
type fullableFS struct {
	wal.FS
	full atomic.Bool
}

func (f *fullableFS) refuse() error { return &os.PathError{Op: "write", Err: syscall.ENOSPC} }

func (f *fullableFS) Create(name string) (wal.File, error) {
	if f.full.Load() {
		return nil, f.refuse()
	}
	file, err := f.FS.Create(name)
	return &fullableFile{file, f}, err
}

type fullableFile struct {
	wal.File
	fs *fullableFS
}

func (f *fullableFile) Write(data []byte) (int, error) {
	if !f.fs.full.Load() {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	if err == nil {
		err = f.fs.refuse()
	}
	return n, err
}

var _ = Describe("Disks that are full one after another", func() {
	// Guards against a group that takes no changes any more after its disks have room again, although all processes run (report of an operator).
	It("do not keep the group from taking changes once there is room", func() {
		var fileSystems []wal.FS
		var disks []*fullableFS
		for range 4 {
			dir, err := wal.NewDirFS(GinkgoT().TempDir())
			Expect(err).NotTo(HaveOccurred())
			disk := &fullableFS{FS: dir}
			disks, fileSystems = append(disks, disk), append(fileSystems, disk)
		}
		hosts := startGroupOn(&partition{}, fileSystems)
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		var revision atomic.Uint64
		submit := func(r *Registrar) error {
			document := &schemav1.RouteDocument{Revision: revision.Add(1), Body: make([]byte, 8<<10)}
			return r.SubmitConfiguration(context.Background(), document)
		}
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					// Changes may be refused meanwhile.
					_ = submit(hosts[i%len(hosts)])
				}
			}
		}()
		full := func(disk *fullableFS, d time.Duration) {
			disk.full.Store(true)
			time.Sleep(d)
			disk.full.Store(false)
		}
		// Below and above the time after which a voter is replaced, with and without time to return in between.
		for i, d := range []time.Duration{2500, 1000, 2500, 1800, 2500, 3000, 500, 2500} {
			full(disks[i%len(disks)], d*time.Millisecond)
			if i%3 == 0 {
				time.Sleep(time.Second)
			}
		}
		// Always the leader.
		for range 3 {
			for i, r := range hosts {
				if r.HoldsLeaderLease() {
					full(disks[i], 2*time.Second)
				}
			}
		}
		close(stop)
		<-stopped
		for _, r := range hosts {
			Eventually(submit, "4s", "50ms").WithArguments(r).Should(Succeed(), r.options.Name)
		}
		for _, r := range hosts {
			Eventually(func() uint64 { return r.state.Routes().GetRevision() }, "4s").Should(Equal(revision.Load()), r.options.Name)
			Eventually(says, "4s").WithArguments(r).Should(BeTrue(), r.options.Name)
		}
	})
})
