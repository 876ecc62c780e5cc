// Package wal stores the durable state of one Raft member in one data folder: hard state, log entries, the last
// snapshot and the host's identity.
//
// # Files
//
//	LOCK              held with flock while the log is open
//	FORMAT            format version of the folder
//	IDENTITY          identity of the host
//	wal-SEQUENCE      segments, appended to in order of their sequence numbers
//	snap-INDEX-TERM   the last snapshot
//	*.tmp             files that were not finished; removed when the log is opened
//
// A record is a 24-byte header (CRC32C, payload length, batch number, type, flags) and a payload that is padded with
// zeros to 8 bytes. Numbers are little-endian. The records of one Save share a batch number, and the last one is
// flagged. A batch is taken over as a whole or not at all.
//
// A segment starts with a record that states its format version, the sequence number of the oldest segment that is
// still needed, and how many bytes of the segment were synced before it got its name. The first batch of a segment
// repeats the hard state and the position of the snapshot, so that older segments can be dropped. Membership is part of
// snapshots and entries and has no record of its own.
//
// # Damage
//
// A batch is written only after the one before it was synced. A damaged batch at the end of the last segment may
// therefore be one that was never acknowledged, and it is cut off. Damage that is followed by a valid record of a later
// batch, that lies in bytes known to be synced, or that lies in an earlier segment is *CorruptError. A damaged batch
// that was acknowledged, was the last one and was written since the log was last opened can't be told from a torn
// write.
//
// # Failures
//
// The first failed write, sync or rename poisons the log: the call and all later ones return that error. Nothing is
// retried after a failed sync, because the kernel may have dropped the data and marked the pages clean (Rebello et al.,
// "Can Applications Recover from fsync Failures?", 2020). For the same reason Open writes the last segment anew
// instead of trusting what it reads from the page cache.
package wal
