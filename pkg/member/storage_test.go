package member

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

// limitedFS refuses writes while the disk is full, after it has written a part.
type limitedFS struct {
	wal.FS
	full atomic.Bool
}

func (f *limitedFS) Create(name string) (wal.File, error) {
	file, err := f.FS.Create(name)
	return &limitedFile{file, f}, err
}

type limitedFile struct {
	wal.File
	fs *limitedFS
}

func (f *limitedFile) Write(data []byte) (int, error) {
	if f.fs.full.Load() {
		n, err := f.File.Write(data[:len(data)/2])
		if err == nil {
			err = syscall.ENOSPC
		}
		return n, err
	}
	return f.File.Write(data)
}

var _ = Describe("Storage", func() {
	var fs *limitedFS
	var path string
	BeforeEach(func() {
		path = GinkgoT().TempDir()
		dir, err := wal.NewDirFS(path)
		Expect(err).NotTo(HaveOccurred())
		fs = &limitedFS{FS: dir}
	})
	entry := func(index uint64) []*schemav1.Entry {
		return []*schemav1.Entry{{Index: index, Term: 1, Data: []byte("0123456789")}}
	}

	It("waits while the disk is full, and then stores each save once (disk_full)", func() {
		log, err := Open(context.Background(), "", wal.Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		var changes []bool
		storage := NewStorage(context.Background(), log, func(full bool) { changes = append(changes, full) })
		Expect(storage.Save(&schemav1.HardState{Term: 1}, entry(1), nil)).To(Succeed())
		fs.full.Store(true)
		saved := make(chan error, 1)
		go func() { saved <- storage.Save(nil, entry(2), nil) }()
		Consistently(saved, "300ms").ShouldNot(Receive())
		fs.full.Store(false)
		Eventually(saved).Should(Receive(Succeed()))
		Expect(changes).To(Equal([]bool{true, false}))
		Expect(storage.Save(nil, entry(3), nil)).To(Succeed())
		Expect(storage.Close()).To(Succeed())
		log, err = wal.Open("", wal.Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		state, err := log.Load()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Entries).To(HaveLen(3))
		Expect(log.Close()).To(Succeed())
	})

	It("stops waiting when the host stops", func() {
		log, err := Open(context.Background(), "", wal.Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		storage := NewStorage(ctx, log, nil)
		fs.full.Store(true)
		time.AfterFunc(50*time.Millisecond, cancel)
		Expect(IsNoSpace(storage.Save(&schemav1.HardState{Term: 1}, entry(1), nil))).To(BeTrue())
		Expect(storage.Close()).To(Succeed())
	})

	// Guards against a host that ends by itself because the disk became full between the steps of its first start.
	It("waits with the identity of a member while the disk is full", func() {
		log, err := Open(context.Background(), "", wal.Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		fs.full.Store(true)
		identities := make(chan uint64, 1)
		go func() {
			defer GinkgoRecover()
			identity, err := Identity(context.Background(), log, 7)
			Expect(err).NotTo(HaveOccurred())
			identities <- identity
		}()
		Consistently(identities, "250ms").ShouldNot(Receive())
		fs.full.Store(false)
		Eventually(identities).Should(Receive(BeEquivalentTo(7)))
		Expect(log.Close()).To(Succeed())
	})

	It("waits with the start of a member while the disk is full", func() {
		fs.full.Store(true)
		opened := make(chan error, 1)
		go func() {
			log, err := Open(context.Background(), "", wal.Options{FS: fs})
			if err == nil {
				err = log.Close()
			}
			opened <- err
		}()
		Consistently(opened, "250ms").ShouldNot(Receive())
		fs.full.Store(false)
		Eventually(opened).Should(Receive(Succeed()))
	})
})
