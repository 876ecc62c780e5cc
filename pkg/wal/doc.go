// Package wal is a write-ahead log that stores the durable state of one Raft member in one directory: hard state, log
// entries, the latest snapshot and the identity of the host.
//
// # Files
//
//	LOCK              held with flock while the log is open
//	FORMAT            format version of all files in the directory
//	IDENTITY          identity of the host
//	wal-SEQUENCE      segments, written in order of their sequence numbers
//	snap-INDEX-TERM   the latest snapshot
//	*.tmp             incomplete files; removed when the log is opened
//
// A record is a 24-byte header (CRC32C, payload length, batch number, type, flags) and a payload that is padded with
// zeros to 8 bytes. Numbers are little-endian. The records of one call of Save form a batch: they share a batch number,
// and the last one is flagged. Recovery applies a batch as a whole or not at all.
//
// A segment starts with a record that states its format version, the sequence number of the oldest segment that is
// still needed, and how many bytes of the segment were synced before it was renamed to its final name. The first batch
// of a segment repeats the hard state and the position of the snapshot, so that older segments can be removed.
// Membership is part of snapshots and entries and has no record of its own.
//
// # Corruption
//
// A batch is written only after the previous one was synced. An invalid batch at the end of the last segment may
// therefore be a torn write that was never acknowledged, and it is truncated. Invalid data is reported as *CorruptError
// if a valid record of a later batch follows it, if it lies in bytes known to be synced, or if it lies in an earlier
// segment. The last batch is an exception if it was acknowledged after the log was last opened: when it is corrupt, it
// can't be distinguished from a torn write and is truncated too.
//
// # Failures
//
// After the first failed write, sync or rename the log is unusable: that call and all later ones return the error.
// Nothing is retried after a failed sync, because the kernel may have dropped the data and marked the pages clean
// (Rebello et al., "Can Applications Recover from fsync Failures?", 2020). For the same reason Open rewrites the last
// segment instead of relying on what it reads from the page cache.
package wal
