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

// expireRecords proposes to remove old idempotency records once a minute.
func (d *Driver) expireRecords(now time.Duration) []*schemav1.GroupCommand {
	if d.options.WallClock == nil || now-d.expiredAt < expireInterval {
		return nil
	}
	d.expiredAt = now
	before := d.options.WallClock().Add(-RecordRetention).UnixMilli()
	return []*schemav1.GroupCommand{{Command: &schemav1.GroupCommand_ExpireRecords{
		ExpireRecords: &schemav1.ExpireRecords{BeforeUnixMs: before},
	}}}
}
