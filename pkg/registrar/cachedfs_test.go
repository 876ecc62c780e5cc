package registrar

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"almondrock.example/almondrock/pkg/wal"
)

var errPowerLost = errors.New("the machine has no power")

// maxSyncDelay is the longest time that a sync of a cachedFS takes.
const maxSyncDelay = 2 * time.Millisecond

// cachedFS is a directory in memory behind a page cache. A loss of power keeps what was synced; of the rest, every write may be present,
// missing or torn, and every name may be the old or the new one.
type cachedFS struct {
	mu             sync.Mutex
	files, durable map[string]*cachedInode
	off, full      bool
	// renamed, if set, is called with the new name after a file was renamed.
	renamed func(name string)
}

// cachedInode is the content of a file. The first synced bytes are on the disk; writes has the ends of the later writes.
type cachedInode struct {
	data   []byte
	synced int
	writes []int
}

func newCachedFS() *cachedFS {
	return &cachedFS{files: map[string]*cachedInode{}, durable: map[string]*cachedInode{}}
}

// do runs an operation unless the machine has no power.
func (f *cachedFS) do(operation func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.off {
		return errPowerLost
	}
	return operation()
}

// powerOff drops the page cache. Every later operation fails.
func (f *cachedFS) powerOff() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.off = true
}

// setFull makes the disk refuse writes, or take them again.
func (f *cachedFS) setFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// reboot returns what the disk holds after powerOff.
func (f *cachedFS) reboot(random *rand.Rand) *cachedFS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := newCachedFS()
	nothingUnsynced := random.IntN(3) == 0
	names := map[string]bool{}
	for name := range f.files {
		names[name] = true
	}
	for name := range f.durable {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		inode := f.durable[name]
		if !nothingUnsynced && random.IntN(2) == 0 {
			inode = f.files[name]
		}
		if inode == nil {
			continue
		}
		data := inode.surviving(random, nothingUnsynced)
		next.files[name] = &cachedInode{data: data, synced: len(data)}
		next.durable[name] = next.files[name]
	}
	return next
}

// surviving returns the content after a loss of power.
func (n *cachedInode) surviving(random *rand.Rand, nothingUnsynced bool) []byte {
	data := bytes.Clone(n.data[:n.synced])
	if nothingUnsynced {
		return data
	}
	start := n.synced
	for _, end := range n.writes {
		kept := 0
		switch random.IntN(3) {
		case 0:
			kept = end - start
		case 1:
			kept = random.IntN(end - start + 1)
		}
		if kept > 0 {
			// Earlier writes that are missing leave zeros.
			data = append(append(data, make([]byte, start-len(data))...), n.data[start:start+kept]...)
		}
		start = end
	}
	return data
}

type noLock struct{}

func (noLock) Close() error { return nil }

func (f *cachedFS) Lock(string) (io.Closer, error) { return noLock{}, nil }

func (f *cachedFS) List() (names []string, err error) {
	err = f.do(func() error { names = slices.Collect(maps.Keys(f.files)); return nil })
	return names, err
}

func (f *cachedFS) Open(name string) (reader io.ReadCloser, size int64, err error) {
	err = f.do(func() error {
		inode := f.files[name]
		if inode == nil {
			return os.ErrNotExist
		}
		reader, size = io.NopCloser(bytes.NewReader(bytes.Clone(inode.data))), int64(len(inode.data))
		return nil
	})
	return reader, size, err
}

func (f *cachedFS) Create(name string) (file wal.File, err error) {
	err = f.do(func() error {
		if f.full {
			return syscall.ENOSPC
		}
		f.files[name] = &cachedInode{}
		file = &cachedFile{f, f.files[name]}
		return nil
	})
	return file, err
}

func (f *cachedFS) Rename(from, to string) error {
	var renamed func(string)
	err := f.do(func() error {
		f.files[to] = f.files[from]
		delete(f.files, from)
		renamed = f.renamed
		return nil
	})
	if renamed != nil {
		renamed(to)
	}
	return err
}

// onRename sets the function that is called after a file was renamed.
func (f *cachedFS) onRename(renamed func(name string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renamed = renamed
}

func (f *cachedFS) Remove(name string) error {
	return f.do(func() error { delete(f.files, name); return nil })
}

func (f *cachedFS) SyncDir() error {
	time.Sleep(rand.N(maxSyncDelay))
	return f.do(func() error { f.durable = maps.Clone(f.files); return nil })
}

type cachedFile struct {
	fs    *cachedFS
	inode *cachedInode
}

func (f *cachedFile) Close() error { return nil }

func (f *cachedFile) Write(data []byte) (n int, err error) {
	err = f.fs.do(func() error {
		n = len(data)
		if f.fs.full {
			n /= 2
		}
		f.inode.data = append(f.inode.data, data[:n]...)
		f.inode.writes = append(f.inode.writes, len(f.inode.data))
		if f.fs.full {
			return syscall.ENOSPC
		}
		return nil
	})
	return n, err
}

func (f *cachedFile) Truncate(size int64) error {
	return f.fs.do(func() error {
		f.inode.data = f.inode.data[:size]
		f.inode.synced = min(f.inode.synced, int(size))
		f.inode.writes = slices.DeleteFunc(f.inode.writes, func(end int) bool { return end > int(size) })
		return nil
	})
}

func (f *cachedFile) Sync() error {
	time.Sleep(rand.N(maxSyncDelay))
	return f.fs.do(func() error {
		f.inode.synced, f.inode.writes = len(f.inode.data), nil
		return nil
	})
}
