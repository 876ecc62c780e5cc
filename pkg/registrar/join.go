package registrar

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// joinGroup asks to join the group until this host has been added as a learner. It returns false if the host is stopped before that.
func (r *Registrar) joinGroup() bool {
	for {
		if r.tryJoin() {
			return true
		}
		select {
		case <-r.ctx.Done():
			return false
		case <-time.After(joinRetryInterval):
		}
	}
}

// tryJoin asks all known registry hosts at the same time, and the leader that they name, to add this host to the group. It returns true if
// the leader has added this host or it already is a member.
func (r *Registrar) tryJoin() bool {
	request := &schemav1.MemberJoin{Id: r.id, Host: r.self()}
	asked := map[string]bool{r.options.PeerAddress: true}
	answers, pending := make(chan *schemav1.MemberJoinAnswer), 0
	done := make(chan struct{})
	defer close(done)
	ask := func(address string) {
		if address == "" || asked[address] {
			return
		}
		asked[address] = true
		pending++
		r.start("join the registry", func() {
			answer := &schemav1.MemberJoinAnswer{}
			if err := r.call(address, methodJoin, request, answer); err != nil {
				klog.V(1).InfoS("join request failed", "address", address, "err", err)
			}
			select {
			case answers <- answer:
			case <-done:
			}
		})
	}
	for _, seed := range r.seeds() {
		ask(seed)
	}
	for _, host := range r.state.RegistryHosts() {
		ask(host.GetPeerAddress())
	}
	for ; pending > 0; pending-- {
		answer := <-answers
		if answer.GetAdded() {
			klog.InfoS("joined the registry", "host", r.options.Name, "id", r.id)
			return true
		}
		ask(answer.GetLeaderAddress())
	}
	return false
}

// rejoin starts to ask to join the group again. Hosts that do not respond must not delay the main loop, in which a leader renews grants.
func (r *Registrar) rejoin() {
	if !r.rejoining.CompareAndSwap(false, true) {
		return
	}
	r.start("join the registry again", func() {
		defer r.rejoining.Store(false)
		r.tryJoin()
	})
}

// recordSelf starts to record the addresses of this host in the registry if they are not recorded yet.
func (r *Registrar) recordSelf() {
	self := r.self()
	for _, host := range r.state.RegistryHosts() {
		if proto.Equal(host, self) {
			return
		}
	}
	if !r.recordingSelf.CompareAndSwap(false, true) {
		return
	}
	r.start("record own addresses", func() {
		defer r.recordingSelf.Store(false)
		if _, err := r.proposeWithRetry(r.ctx, &schemav1.RegistryCommand{RegistryHost: self}); err != nil {
			klog.V(1).InfoS("addresses of this host not recorded", "err", err)
		}
	})
}
