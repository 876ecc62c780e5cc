package registry

import (
	"fmt"
	"net/netip"
	"strconv"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Bounds of the values in a registration.
const (
	// maxTargetID is the length of the longest ID of a target in bytes. IDs are sent with each request and kept in each view.
	maxTargetID = 256
	// maxSlots is the largest number of slots of a target. 0 stands for a number that is not known.
	maxSlots = 1 << 16
	// maxStartedUnixMs is the last millisecond of the year 9999, the last that RFC 3339 can write. A later start would outlast every
	// restart of the target, because an earlier start never replaces a later one.
	maxStartedUnixMs = 253_402_300_799_999
)

// RegistrationError reports a registration or an ID that names no target which can be used.
type RegistrationError struct{ Field, Value string }

// Error implements error.
func (e *RegistrationError) Error() string {
	return fmt.Sprintf("no target can be used with the %s %.64q", e.Field, e.Value)
}

// CheckRegistration returns a *RegistrationError if a target cannot be used as it is registered, or nil.
func CheckRegistration(r *schemav1.Registration) error {
	address, err := netip.ParseAddrPort(r.GetAddress())
	switch {
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() || address.Addr().Zone() != "":
		return &RegistrationError{"address", r.GetAddress()}
	case r.GetSlots() > maxSlots:
		return &RegistrationError{"number of slots", strconv.FormatUint(uint64(r.GetSlots()), 10)}
	case !IsValidStart(r.GetStartedUnixMs()):
		return &RegistrationError{"start", strconv.FormatInt(r.GetStartedUnixMs(), 10)}
	}
	return CheckTargetID(r.GetId())
}

// IsValidStart reports whether a target can have been started at a time in Unix milliseconds.
func IsValidStart(started int64) bool { return started > 0 && started <= maxStartedUnixMs }

// CheckTargetID returns a *RegistrationError if an ID cannot be that of a target, or nil. Requests carry it in a header field, and the
// messages between hosts can hold only UTF-8.
func CheckTargetID(id string) error {
	valid := id != "" && len(id) <= maxTargetID
	for i := range len(id) {
		valid = valid && id[i] > ' ' && id[i] <= '~'
	}
	if !valid {
		return &RegistrationError{"ID", id}
	}
	return nil
}
