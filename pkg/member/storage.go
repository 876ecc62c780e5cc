package member

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

// noSpaceRetryInterval is the time between attempts to write to a full disk.
const noSpaceRetryInterval = 100 * time.Millisecond

// Storage makes a write-ahead log usable as the storage of a replica. While the disk is full, Save waits for room: the member then
// acknowledges nothing and sends nothing, so that it loses leadership and its votes do not count, but keeps its state in memory.
type Storage struct {
	ctx context.Context
	log *wal.Log
	// onFull is called with true when a write is refused because the disk is full, and with false when there is room again.
	onFull func(full bool)
}

// NewStorage returns a Storage whose Save stops waiting for room on the disk when ctx ends. onFull may be nil.
func NewStorage(ctx context.Context, log *wal.Log, onFull func(full bool)) *Storage {
	if onFull == nil {
		onFull = func(bool) {}
	}
	return &Storage{ctx: ctx, log: log, onFull: onFull}
}

// Load implements replication.Storage.
func (s *Storage) Load() (replication.PersistentState, error) {
	state, err := s.log.Load()
	return replication.PersistentState(state), err
}

// Save implements replication.Storage.
func (s *Storage) Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error {
	for began, refused := time.Now(), 0; ; refused++ {
		err := s.log.Save(hardState, entries, snapshot)
		if !IsNoSpace(err) {
			if refused > 0 {
				s.onFull(false)
				klog.InfoS("disk has room again", "after", time.Since(began), "refusedWrites", refused, "err", err)
			}
			return err
		}
		if refused == 0 {
			s.onFull(true)
			klog.ErrorS(err, "disk is full; this member stores, votes and acknowledges nothing until there is room")
		}
		if !monotonic.Sleep(s.ctx, noSpaceRetryInterval) {
			return err
		}
	}
}

// Close implements replication.Storage.
func (s *Storage) Close() error { return s.log.Close() }

// Open opens the log at path. While the disk is full, it waits for room until ctx ends.
func Open(ctx context.Context, path string, options wal.Options) (*wal.Log, error) {
	return awaitRoom(ctx, func() (*wal.Log, error) { return wal.Open(path, options) })
}

// Identity returns the identity of the host; see wal.Log.IdentityWithDefault. While the disk is full, it waits for room until ctx ends.
func Identity(ctx context.Context, log *wal.Log, initial uint64) (uint64, error) {
	return awaitRoom(ctx, func() (uint64, error) { return log.IdentityWithDefault(initial) })
}

// awaitRoom repeats a step of the start of a member until it does not fail because the disk is full.
func awaitRoom[T any](ctx context.Context, step func() (T, error)) (T, error) {
	for refused := 0; ; refused++ {
		result, err := step()
		if !IsNoSpace(err) {
			return result, err
		}
		if refused == 0 {
			klog.ErrorS(err, "disk is full; this member starts when there is room")
		}
		if !monotonic.Sleep(ctx, noSpaceRetryInterval) {
			return result, err
		}
	}
}

// IsNoSpace reports whether err is or wraps a *wal.NoSpaceError.
func IsNoSpace(err error) bool {
	var noSpace *wal.NoSpaceError
	return errors.As(err, &noSpace)
}

// IsEmpty reports whether state is that of a member that has not stored anything yet.
func IsEmpty(state replication.PersistentState) bool {
	return state.HardState == nil && state.Snapshot == nil && len(state.Entries) == 0
}
