package registrar

import "time"

// timeOfDay returns the time of day in Unix milliseconds. Removals of targets are compared with it to starts, which targets state as times of
// day. A wrong clock may delay the registration of a start by lateAnnouncementTime of pkg/registry, no longer.
func timeOfDay() int64 { return time.Now().UnixMilli() }
