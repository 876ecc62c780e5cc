package registrar

import "github.com/ansel1/merry/v2"

// Errors of calls.
var (
	// ErrNoLeader: the group has no leader that this host can reach. The order may or may not be carried out.
	ErrNoLeader = merry.Sentinel("no leader is known")
	// ErrNoConfiguration: no configuration has been accepted yet.
	ErrNoConfiguration = merry.Sentinel("there is no configuration yet")
	// ErrUnknownService: the configuration has no such service.
	ErrUnknownService = merry.Sentinel("the service is not part of the configuration")
	// ErrNotJoined: this host is not a member of the group yet.
	ErrNotJoined = merry.Sentinel("this host has not joined the registry yet")
)
