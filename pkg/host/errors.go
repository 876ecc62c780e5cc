package host

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// ListenError reports an address that the process cannot listen on.
type ListenError struct {
	// Setting is the flag that gave the address.
	Setting, Address string
	Err              error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s given by --%s: %v", e.Address, e.Setting, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Errors of calls that another host has to answer.
var (
	// ErrNoLeader is returned while the leader is unknown or changes.
	ErrNoLeader = merry.Sentinel("no leader is known")
	// ErrNoGroup is returned while this host takes part in no data centre group.
	ErrNoGroup = merry.Sentinel("this host is not yet a member of its data centre group")
	// ErrRecordNotBegun is returned for a record that this host did not begin.
	ErrRecordNotBegun = merry.Sentinel("this host did not begin the record")
)
