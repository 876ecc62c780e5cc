package host

import (
	"sync/atomic"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// compiledView is a control view indexed for the lookups of requests. It is immutable.
type compiledView struct {
	view        *schemav1.ControlView
	snapshot    *config.Snapshot
	delegations map[string]*schemav1.KeyspaceDelegation
	hosts       map[string]*schemav1.Host
	addresses   map[string][]string
}

// viewStore keeps the newest control view. It never returns to an older one (I11), even when a new generation starts from an
// older state or a response of the control group arrives late.
type viewStore struct {
	current atomic.Pointer[compiledView]
}

// installIfNewer installs view if it is newer than the current one, and reports whether it did.
func (s *viewStore) installIfNewer(view *schemav1.ControlView) bool {
	for {
		current := s.current.Load()
		if current != nil && current.view.GetIndex() >= view.GetIndex() {
			return false
		}
		next, err := compileView(view, current)
		if err != nil {
			klog.ErrorS(err, "cannot compile the configuration", "revision", view.GetConfiguration().GetRevision())
			return false
		}
		if s.current.CompareAndSwap(current, next) {
			return true
		}
	}
}

func compileView(view *schemav1.ControlView, previous *compiledView) (*compiledView, error) {
	compiled := &compiledView{
		view:        view,
		delegations: map[string]*schemav1.KeyspaceDelegation{},
		hosts:       map[string]*schemav1.Host{},
		addresses:   map[string][]string{},
	}
	for _, delegation := range view.GetDelegations() {
		compiled.delegations[delegation.GetKeyspace()] = delegation
	}
	for _, host := range view.GetHosts() {
		compiled.hosts[host.GetName()] = host
		compiled.addresses[host.GetDataCentre()] = append(compiled.addresses[host.GetDataCentre()], host.GetDataAddress())
	}
	if view.GetConfiguration() == nil {
		return compiled, nil
	}
	if previous != nil && previous.snapshot != nil && previous.snapshot.Revision() == view.GetConfiguration().GetRevision() {
		compiled.snapshot = previous.snapshot
		return compiled, nil
	}
	var err error
	compiled.snapshot, err = config.Compile(view.GetConfiguration())
	return compiled, err
}

// get returns the newest view, or nil before the first.
func (s *viewStore) get() *compiledView { return s.current.Load() }

// revision returns the configuration revision in force on this host, or 0 before the first.
func (s *viewStore) revision() uint64 {
	if view := s.get(); view != nil && view.snapshot != nil {
		return view.snapshot.Revision()
	}
	return 0
}
