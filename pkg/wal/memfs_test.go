package wal_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"syscall"

	"almondrock.example/almondrock/pkg/wal"
)

var errCrash = errors.New("crashed")

// inode is a file's content: what reads see, and what is on the disk.
type inode struct {
	data, durable []byte
	// lost marks bytes that a failed sync has dropped although reads still see them.
	lost []bool
}

type dirOp struct {
	remove, create string
	node           *inode
}

// memFS is a folder in memory that models the page cache: file content and directory changes are lost in a crash
// unless they were synced.
type memFS struct {
	files, disk map[string]*inode
	pending     []dirOp
	locked      bool
	crashed     bool

	ops int
	// crashAt is the number of the operation that crashes; 0 for none. With crashLate it takes effect first.
	crashAt   int
	crashLate bool
	// fault, when set, may fail an operation: "write", "short", "full", "sync", "syncdir", "rename", "create".
	fault func(op int, kind string) bool
	// skipSync and skipSyncDir make the deliberately wrong variants.
	skipSync, skipSyncDir bool
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*inode{}, disk: map[string]*inode{}}
}

// step runs one operation that a crash may interrupt. before is the partial effect of an interrupted operation.
func (m *memFS) step(effect, partial func()) error {
	if m.crashed {
		return errCrash
	}
	m.ops++
	if m.ops != m.crashAt {
		effect()
		return nil
	}
	m.crashed = true
	if m.crashLate {
		effect()
	} else if partial != nil {
		partial()
	}
	return errCrash
}

func (m *memFS) fails(kind string) bool { return m.fault != nil && m.fault(m.ops+1, kind) }

type memLock struct{ fs *memFS }

func (l memLock) Close() error { l.fs.locked = false; return nil }

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, &wal.LockedError{Dir: "memory"}
	}
	m.locked = true
	return memLock{m}, nil
}

func (m *memFS) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	return names, nil
}

func (m *memFS) Open(name string) (io.ReadCloser, int64, error) {
	node, ok := m.files[name]
	if !ok {
		return nil, 0, os.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(node.data)), int64(len(node.data)), nil
}

func (m *memFS) Create(name string) (wal.File, error) {
	if m.fails("create") {
		return nil, syscall.EIO
	}
	node := &inode{}
	err := m.step(func() { m.files[name] = node; m.pending = append(m.pending, dirOp{create: name, node: node}) }, nil)
	return &memFile{fs: m, node: node}, err
}

func (m *memFS) Rename(from, to string) error {
	if m.fails("rename") {
		return syscall.EIO
	}
	return m.step(func() {
		node := m.files[from]
		delete(m.files, from)
		m.files[to] = node
		m.pending = append(m.pending, dirOp{remove: from, create: to, node: node})
	}, nil)
}

func (m *memFS) Remove(name string) error {
	return m.step(func() { delete(m.files, name); m.pending = append(m.pending, dirOp{remove: name}) }, nil)
}

func (m *memFS) SyncDir() error {
	if m.fails("syncdir") {
		return syscall.EIO
	}
	return m.step(func() {
		if !m.skipSyncDir {
			m.flushDir(len(m.pending))
		}
	}, nil)
}

func (m *memFS) flushDir(count int) {
	for _, op := range m.pending[:count] {
		delete(m.disk, op.remove)
		if op.node != nil {
			m.disk[op.create] = op.node
		}
	}
	m.pending = m.pending[count:]
}

type memFile struct {
	fs   *memFS
	node *inode
}

func (f *memFile) Close() error { return nil }

func (f *memFile) Write(data []byte) (int, error) {
	half := data[:len(data)/2]
	put := func(part []byte) func() { return func() { f.node.data = append(f.node.data, part...) } }
	switch {
	case f.fs.fails("short"):
		put(half)()
		return len(half), nil
	case f.fs.fails("full"):
		put(half)()
		return len(half), syscall.ENOSPC
	case f.fs.fails("write"):
		return 0, syscall.EIO
	}
	if err := f.fs.step(put(data), put(half)); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (f *memFile) Sync() error {
	if f.fs.fails("sync") {
		for i := range f.node.data {
			if i >= len(f.node.lost) {
				f.node.lost = append(f.node.lost, i >= len(f.node.durable))
			}
		}
		return syscall.EIO
	}
	return f.fs.step(func() {
		if !f.fs.skipSync {
			f.node.flush(len(f.node.data))
		}
	}, nil)
}

// flush stores the first size bytes on the disk, with zeros where a failed sync has lost them.
func (n *inode) flush(size int) {
	for i := len(n.durable); i < size; i++ {
		if i < len(n.lost) && n.lost[i] {
			n.durable = append(n.durable, 0)
		} else {
			n.durable = append(n.durable, n.data[i])
		}
	}
}

// keep is what a crash leaves of the data and directory changes that were not synced.
type keep struct {
	name      string
	data, dir func(unsynced int) int
	hole      bool
}

func nothing(int) int      { return 0 }
func everything(n int) int { return n }
func firstHalf(n int) int  { return n / 2 }
func allButOne(n int) int  { return max(n-1, 0) }

var keeps = []keep{
	{name: "nothing", data: nothing, dir: nothing},
	{name: "everything", data: everything, dir: everything},
	{name: "half of the data, no directory change", data: firstHalf, dir: nothing},
	{name: "half of the data, all directory changes", data: firstHalf, dir: everything},
	{name: "all data but a byte, half of the directory changes", data: allButOne, dir: firstHalf},
	{name: "no data, all directory changes", data: nothing, dir: everything},
	{name: "later data without earlier, all directory changes", data: everything, dir: everything, hole: true},
}

// reboot returns the folder as the next boot finds it.
func (m *memFS) reboot(k keep) *memFS {
	m.flushDir(k.dir(len(m.pending)))
	next := newMemFS()
	for name, node := range m.disk {
		synced := len(node.durable)
		unsynced := len(node.data) - synced
		node.flush(synced + k.data(unsynced))
		if k.hole && unsynced > 0 {
			clear(node.durable[synced : synced+unsynced/2])
		}
		durable := bytes.Clone(node.durable)
		next.files[name] = &inode{data: durable, durable: durable}
		next.disk[name] = next.files[name]
	}
	return next
}

// restart returns the folder as a new process finds it without a reboot.
func (m *memFS) restart() *memFS {
	return &memFS{files: m.files, disk: m.disk, pending: m.pending}
}
