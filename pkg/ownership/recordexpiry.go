package ownership

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// RecordRetention is how long idempotency records are kept at least.
	RecordRetention  = 24 * time.Hour
	retentionMinutes = uint64(RecordRetention / time.Minute)
)

// recordExpiryCommands returns, about once a minute, the command that removes old idempotency records. The minutes of a leader that has
// ended since its last command are not counted, which keeps records longer.
func (d *Driver) recordExpiryCommands(now time.Duration) []*schemav1.GroupCommand {
	minutes := (now - d.recordsExpiredAt) / time.Minute
	if minutes < 1 {
		return nil
	}
	d.recordsExpiredAt += minutes * time.Minute
	return []*schemav1.GroupCommand{{Command: &schemav1.GroupCommand_ExpireRecords{
		ExpireRecords: &schemav1.ExpireRecords{Minutes: uint64(minutes)},
	}}}
}
