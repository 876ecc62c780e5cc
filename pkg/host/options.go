package host

import (
	"context"
	"net"

	"almondrock.example/almondrock/pkg/control"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// Options configure one host.
type Options struct {
	// Settings are the validated process settings.
	Settings *schemav1.HostSettings
	// SubmissionCheck merges and validates submissions. It is required on members of the control group.
	SubmissionCheck control.SubmissionCheck
	// InitialSubmission is submitted by the leader of a control group that has no configuration yet. It may be nil.
	InitialSubmission *schemav1.Submission
	// Listeners are used instead of the addresses of the settings, by tests and the dev command.
	Listeners *Listeners
	// Handover makes a planned stop wait until other hosts have taken over the attachments. It is off in the dev command,
	// which stops all hosts at once, so that no host remains to take over.
	Handover bool
	// Faults are injected by tests. It is nil in production.
	Faults *Faults
}

// Faults are the hooks by which a test injects faults into one host.
type Faults struct {
	// Dial opens all connections to other hosts and to targets.
	Dial target.Dial
	// Wait runs before each iteration of the host's loops and blocks while the test pauses the host. The clocks continue.
	Wait func(ctx context.Context)
}

// dial returns the injected dial function, or nil for the default.
func (f *Faults) dial() target.Dial {
	if f == nil {
		return nil
	}
	return f.Dial
}

// wait calls the injected Wait, if any.
func (f *Faults) wait(ctx context.Context) {
	if f != nil && f.Wait != nil {
		f.Wait(ctx)
	}
}

// Listeners are the four listeners of a host.
type Listeners struct {
	Callers, Data, RPC, Admin net.Listener
}

// Listen opens listeners on the addresses of the settings. It fails with *ListenError.
func Listen(settings *schemav1.HostSettings) (*Listeners, error) {
	listeners := &Listeners{}
	for _, l := range []struct {
		setting, address string
		listener         *net.Listener
	}{
		{"listen", settings.GetListen(), &listeners.Callers},
		{"data", settings.GetData(), &listeners.Data},
		{"rpc", settings.GetRpc(), &listeners.RPC},
		{"admin", settings.GetAdmin(), &listeners.Admin},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			listeners.Close()
			return nil, &ListenError{Setting: l.setting, Address: l.address, Err: err}
		}
		*l.listener = opened
	}
	return listeners, nil
}

// Close closes all listeners that are open.
func (l *Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Data, l.RPC, l.Admin} {
		if listener != nil {
			listener.Close()
		}
	}
}
