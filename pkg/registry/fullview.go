package registry

import (
	"sync"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/deflate"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// minPackedTargets is the number of targets in a full update from which on it is compressed and shared. Smaller ones are cheaper to
	// encode than to compress.
	minPackedTargets = 500
	// maxBaseChanges is the number of changes after a shared full update up to which it is still sent, followed by those changes.
	maxBaseChanges = 256
	// maxBaseBytes bounds a decompressed full update.
	maxBaseBytes = 64 << 20
)

// FullViews makes updates of views. Full ones are encoded and compressed once for all entry hosts: after the loss of all processes
// hundreds of them ask for one at the same time. The zero value is ready for use. It is safe for concurrent use.
type FullViews struct {
	mu      sync.Mutex
	version uint64
	base    []byte
}

// UpdateSince is like State.UpdateSince, but a large full update is packed into the field base.
func (f *FullViews) UpdateSince(s *State, version uint64) *schemav1.ViewUpdate {
	update := s.UpdateSince(version)
	if !update.GetFull() || len(update.GetTargets()) < minPackedTargets {
		return update
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.base != nil && f.version <= update.GetVersion() && update.GetVersion()-f.version <= maxBaseChanges {
		if changes := s.UpdateSince(f.version); !changes.GetFull() {
			return f.withBase(changes)
		}
	}
	base, err := pack(update)
	if err != nil {
		klog.ErrorS(err, "full update not packed", "version", update.GetVersion())
		return update
	}
	f.version, f.base = update.GetVersion(), base
	return f.withBase(&schemav1.ViewUpdate{Version: update.GetVersion()})
}

// withBase adds the shared full update to the changes that follow it. f.mu must be held.
func (f *FullViews) withBase(changes *schemav1.ViewUpdate) *schemav1.ViewUpdate {
	changes.Full, changes.Base, changes.HostsChanged = true, f.base, true
	return changes
}

// pack encodes and compresses an update.
func pack(update *schemav1.ViewUpdate) ([]byte, error) {
	encoded, err := proto.Marshal(update)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return deflate.Compress(encoded, deflate.Fast)
}

// Base returns the full update that an update begins with, or nil if it has none.
func Base(update *schemav1.ViewUpdate) (*schemav1.ViewUpdate, error) {
	if len(update.GetBase()) == 0 {
		return nil, nil
	}
	encoded, err := deflate.Decompress(update.GetBase(), maxBaseBytes)
	if err != nil {
		return nil, err
	}
	base := &schemav1.ViewUpdate{}
	return base, merry.Wrap(proto.Unmarshal(encoded, base))
}
