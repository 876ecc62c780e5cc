package registrar

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// join asks until this host is a learner. It returns false when the host is stopped.
func (r *Registrar) join() bool {
	for {
		if r.askToJoin() {
			return true
		}
		select {
		case <-r.ctx.Done():
			return false
		case <-time.After(joinRetry):
		}
	}
}

func (r *Registrar) askToJoin() bool {
	request := &schemav1.MemberJoin{Id: r.id, Host: r.self()}
	addresses := r.seeds()
	for _, host := range r.state.RegistryHosts() {
		if !slices.Contains(addresses, host.GetPeerAddress()) {
			addresses = append(addresses, host.GetPeerAddress())
		}
	}
	for i := 0; i < len(addresses); i++ {
		if addresses[i] == r.options.PeerAddress {
			continue
		}
		answer := &schemav1.MemberJoinAnswer{}
		if err := r.call(addresses[i], methodJoin, request, answer); err != nil {
			klog.V(1).InfoS("join not answered", "address", addresses[i], "err", err)
			continue
		}
		if answer.GetAdded() {
			klog.InfoS("joined the registry", "host", r.options.Name, "id", r.id, "by", addresses[i])
			return true
		}
		if leader := answer.GetLeaderAddress(); leader != "" && !slices.Contains(addresses, leader) {
			addresses = append(addresses, leader)
		}
	}
	return false
}

// announceSelf records the addresses of this host in the registry.
func (r *Registrar) announceSelf() {
	self := r.self()
	for _, host := range r.state.RegistryHosts() {
		if proto.Equal(host, self) {
			return
		}
	}
	if !r.announcing.CompareAndSwap(false, true) {
		return
	}
	r.tasks.Go(func() {
		defer r.announcing.Store(false)
		if _, err := r.order(r.ctx, &schemav1.RegistryCommand{RegistryHost: self}); err != nil {
			klog.V(1).InfoS("own addresses not recorded", "err", err)
		}
	})
}
