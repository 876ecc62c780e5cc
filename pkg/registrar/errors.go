package registrar

import "github.com/ansel1/merry/v2"

// Errors of calls to a Registrar.
var (
	// ErrNoLeader means that the group has no leader that this host can reach. The command may or may not take effect.
	ErrNoLeader = merry.Sentinel("no leader is known")
	// ErrNoConfiguration means that no configuration has been accepted yet.
	ErrNoConfiguration = merry.Sentinel("there is no configuration yet")
	// ErrUnknownService means that the configuration has no service of this name.
	ErrUnknownService = merry.Sentinel("the service is not part of the configuration")
	// ErrOutdated means that this host may lack the configuration that has the service.
	ErrOutdated = merry.Sentinel("the configuration of this host may be outdated")
	// ErrNotJoined means that this host is not a member of the group yet.
	ErrNotJoined = merry.Sentinel("this host has not joined the registry yet")
	// ErrForming means that too few hosts have become voters of the group yet. The command may take effect.
	ErrForming = merry.Sentinel("too few registry hosts have stored this yet")
	// ErrUnknownTarget means that no target with this ID is registered.
	ErrUnknownTarget = merry.Sentinel("the target is not registered")
	// ErrPaused means that this host stood still until just now, so that an order may have waited here for longer than its caller.
	ErrPaused = merry.Sentinel("this host stood still, so the order may be outdated")
	// ErrReadLate means that what an order refers to was read so late that its caller may have turned to another host before.
	ErrReadLate = merry.Sentinel("the leader answered late, so the order may be outdated")
	// ErrCallerLeft means that the caller closed its connection before its order was proposed.
	ErrCallerLeft = merry.Sentinel("the caller left before its order was carried out")
	// ErrOvertaken means that what the order refers to has changed since the order was received.
	ErrOvertaken = merry.Sentinel("a later order has been carried out")
)
