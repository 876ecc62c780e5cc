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
	// Settings are the checked process settings.
	Settings *schemav1.HostSettings
	// SubmissionCheck merges and checks submissions; required on members of the control group.
	SubmissionCheck control.SubmissionCheck
	// InitialSubmission is submitted by the leader of a control group without a revision; it may be nil.
	InitialSubmission *schemav1.Submission
	// Listeners replace the addresses of the settings, for tests and the dev command.
	Listeners *Listeners
	// Handover makes a planned stop wait until other hosts have taken over the attachments. The dev command, which
	// stops all hosts at once, has nobody to hand over to.
	Handover bool
	// Faults are injected by tests; nil elsewhere.
	Faults *Faults
}

// Faults are what a test may do to one host.
type Faults struct {
	// Dial opens all connections to other hosts and to targets.
	Dial target.Dial
	// Wait runs before each round of the host's loops and blocks while the test pauses the host. Clocks go on.
	Wait func(ctx context.Context)
}

// dial returns nil, which stands for the default, without faults.
func (f *Faults) dial() target.Dial {
	if f == nil {
		return nil
	}
	return f.Dial
}

// wait returns at once without faults.
func (f *Faults) wait(ctx context.Context) {
	if f != nil && f.Wait != nil {
		f.Wait(ctx)
	}
}

// Listeners are the four listeners of a host.
type Listeners struct {
	Callers, Data, RPC, Admin net.Listener
}

// Listen opens the listeners that the settings name.
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
