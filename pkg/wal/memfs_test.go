package wal_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"slices"
	"syscall"

	"almondrock.example/almondrock/pkg/wal"
)

var errCrash = errors.New("crashed")

// inode holds the content of a file: data is what reads return, durable is what is on the disk.
type inode struct {
	data, durable []byte
	// lost marks bytes that a failed sync has dropped although reads still return them.
	lost []bool
}

type dirOp struct {
	remove, create string
	node           *inode
}

// memFS is a directory in memory that models the page cache: a crash may lose file content and directory changes that
// were not synced.
type memFS struct {
	files, durableFiles map[string]*inode
	pending             []dirOp
	locked              bool
	crashed             bool

	opCount int
	// crashAtOp is the number of the operation that a crash interrupts, 0 for none. With crashAfterEffect, the crash follows
	// the complete effect of the operation.
	crashAtOp        int
	crashAfterEffect bool
	// fault, if set, is called before an operation and returns whether it fails. kind, the operation, is
	// "write", "short", "full", "sync", "syncdir", "rename" or "create".
	fault func(op int, kind string) bool
	// skipSync and skipSyncDir make syncs of files and of the directory ineffective, so that tests can check that the loss
	// of data is detected.
	skipSync, skipSyncDir bool
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*inode{}, durableFiles: map[string]*inode{}}
}

// execute runs one operation that a crash may interrupt. effect is its complete effect, and partial, if not nil, is that of
// an interrupted operation.
func (m *memFS) execute(effect, partial func()) error {
	if m.crashed {
		return errCrash
	}
	m.opCount++
	if m.opCount != m.crashAtOp {
		effect()
		return nil
	}
	m.crashed = true
	if m.crashAfterEffect {
		effect()
	} else if partial != nil {
		partial()
	}
	return errCrash
}

func (m *memFS) shouldFail(kind string) bool { return m.fault != nil && m.fault(m.opCount+1, kind) }

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
	if m.shouldFail("create") {
		return nil, syscall.EIO
	}
	node := &inode{}
	err := m.execute(func() { m.files[name] = node; m.pending = append(m.pending, dirOp{create: name, node: node}) }, nil)
	return &memFile{fs: m, node: node}, err
}

func (m *memFS) Rename(from, to string) error {
	if m.shouldFail("rename") {
		return syscall.EIO
	}
	return m.execute(func() {
		node := m.files[from]
		delete(m.files, from)
		m.files[to] = node
		m.pending = append(m.pending, dirOp{remove: from, create: to, node: node})
	}, nil)
}

func (m *memFS) Remove(name string) error {
	return m.execute(func() { delete(m.files, name); m.pending = append(m.pending, dirOp{remove: name}) }, nil)
}

func (m *memFS) SyncDir() error {
	if m.shouldFail("syncdir") {
		return syscall.EIO
	}
	return m.execute(func() {
		if !m.skipSyncDir {
			m.flushDir(len(m.pending))
		}
	}, nil)
}

func (m *memFS) flushDir(count int) {
	for _, op := range m.pending[:count] {
		delete(m.durableFiles, op.remove)
		if op.node != nil {
			m.durableFiles[op.create] = op.node
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
	case f.fs.shouldFail("short"):
		put(half)()
		return len(half), nil
	case f.fs.shouldFail("full"):
		put(half)()
		return len(half), syscall.ENOSPC
	case f.fs.shouldFail("write"):
		return 0, syscall.EIO
	}
	if err := f.fs.execute(put(data), put(half)); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (f *memFile) Truncate(size int64) error {
	return f.fs.execute(func() { f.node.data = f.node.data[:size] }, nil)
}

func (f *memFile) Sync() error {
	if f.fs.shouldFail("sync") {
		for i := range f.node.data {
			if i >= len(f.node.lost) {
				f.node.lost = append(f.node.lost, i >= len(f.node.durable))
			}
		}
		return syscall.EIO
	}
	return f.fs.execute(func() {
		if !f.fs.skipSync {
			f.node.flush(len(f.node.data))
		}
	}, nil)
}

// flush stores the first size bytes on the disk, with zeros for bytes that a failed sync has dropped.
func (n *inode) flush(size int) {
	for i := len(n.durable); i < size; i++ {
		if i < len(n.lost) && n.lost[i] {
			n.durable = append(n.durable, 0)
		} else {
			n.durable = append(n.durable, n.data[i])
		}
	}
}

// crashEffect states how much of the unsynced data of a file, and how many of the unsynced directory changes, survive a
// crash.
type crashEffect struct {
	name      string
	data, dir func(unsynced int) int
	hole      bool // the first half of the unsynced data of a file is replaced by zeros
}

func nothing(int) int      { return 0 }
func everything(n int) int { return n }
func firstHalf(n int) int  { return n / 2 }
func allButOne(n int) int  { return max(n-1, 0) }

var crashEffects = []crashEffect{
	{name: "nothing", data: nothing, dir: nothing},
	{name: "everything", data: everything, dir: everything},
	{name: "half of the data, no directory changes", data: firstHalf, dir: nothing},
	{name: "half of the data, all directory changes", data: firstHalf, dir: everything},
	{name: "all data but one byte, half of the directory changes", data: allButOne, dir: firstHalf},
	{name: "no data, all directory changes", data: nothing, dir: everything},
	{name: "later data without earlier data, all directory changes", data: everything, dir: everything, hole: true},
}

// reboot returns the directory after a crash with the given effect.
func (m *memFS) reboot(effect crashEffect) *memFS {
	m.flushDir(effect.dir(len(m.pending)))
	next := newMemFS()
	for name, node := range m.durableFiles {
		synced := len(node.durable)
		unsynced := len(node.data) - synced
		node.flush(synced + effect.data(unsynced))
		if effect.hole && unsynced > 0 {
			clear(node.durable[synced : synced+unsynced/2])
		}
		durable := bytes.Clone(node.durable)
		next.files[name] = &inode{data: durable, durable: durable}
		next.durableFiles[name] = next.files[name]
	}
	return next
}

// copy returns a copy of the directory with all that is and is not durable.
func (m *memFS) copy() *memFS {
	nodes := map[*inode]*inode{}
	clone := func(n *inode) *inode {
		if n == nil {
			return nil
		}
		if nodes[n] == nil {
			nodes[n] = &inode{data: bytes.Clone(n.data), durable: bytes.Clone(n.durable), lost: slices.Clone(n.lost)}
		}
		return nodes[n]
	}
	next := newMemFS()
	for name, n := range m.files {
		next.files[name] = clone(n)
	}
	for name, n := range m.durableFiles {
		next.durableFiles[name] = clone(n)
	}
	for _, op := range m.pending {
		next.pending = append(next.pending, dirOp{remove: op.remove, create: op.create, node: clone(op.node)})
	}
	return next
}

// restart returns the directory as a new process finds it when the machine has not crashed.
func (m *memFS) restart() *memFS {
	return &memFS{files: m.files, durableFiles: m.durableFiles, pending: m.pending}
}
