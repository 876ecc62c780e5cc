package ownership

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// RecordRetention is how long idempotency records are kept.
	RecordRetention = 24 * time.Hour
	// expireInterval is the time between removals of old records.
	expireInterval = time.Minute
)

// recordExpiryCommands returns, once a minute, the command that removes old idempotency records.
func (d *Driver) recordExpiryCommands(now time.Duration) []*schemav1.GroupCommand {
	if d.options.WallClock == nil || now-d.recordsExpiredAt < expireInterval {
		return nil
	}
	d.recordsExpiredAt = now
	before := d.options.WallClock().Add(-RecordRetention).UnixMilli()
	return []*schemav1.GroupCommand{{Command: &schemav1.GroupCommand_ExpireRecords{
		ExpireRecords: &schemav1.ExpireRecords{BeforeUnixMs: before},
	}}}
}
