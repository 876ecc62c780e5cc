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

// SeedError reports an entry of the list of first control members that is not NAME=IP:PORT.
type SeedError struct {
	Entry string
}

// Error implements error.
func (e *SeedError) Error() string {
	return fmt.Sprintf("seed %q is not NAME=IP:PORT", e.Entry)
}

// BaseFileError reports why the files that the control group should start with are refused.
type BaseFileError struct {
	// Problems has one line per problem.
	Problems []string
}

// Error implements error.
func (e *BaseFileError) Error() string {
	return fmt.Sprintf("the configuration to start with is refused: %v", e.Problems)
}

// Errors of calls that another host has to answer.
var (
	// ErrNotLeader is returned while the leader is unknown or changes.
	ErrNotLeader = merry.Sentinel("no leader is known")
	// ErrNoGroup is returned while this host takes part in no data centre group.
	ErrNoGroup = merry.Sentinel("this host is not yet a member of its data centre group")
	// ErrNotBegun is returned for a record that this host did not begin.
	ErrNotBegun = merry.Sentinel("this host did not begin the record")
	// ErrNotControl is returned by hosts that are no members of the control group.
	ErrNotControl = merry.Sentinel("this host is no member of the control group")
)
