package registrar

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Watchers", func() {
	// Guards against updates that take the whole processor (sweep at 300 hosts: 3,000 targets register within seconds, and 72 entry hosts
	// watch each registry host).
	It("bounds the updates of all entry hosts while targets change 500 times a second", func() {
		for _, hosts := range []int{3, 24, 72, 180} {
			w := &watchers{}
			now := time.Now()
			next := map[string]time.Time{}
			for i := range hosts {
				name := fmt.Sprint(i)
				w.markSeen(name)
				next[name] = now
			}
			sent := 0
			for change := range 1000 {
				at := now.Add(time.Duration(change) * 2 * time.Millisecond)
				for name, due := range next {
					if at.Before(due) {
						continue
					}
					next[name] = at.Add(w.reserveUpdate(name, at))
					sent++
				}
			}
			Expect(sent).To(BeNumerically("<=", 2*500+2*hosts), "%d hosts, 2 s", hosts)
			Expect(updateInterval(hosts)).To(BeNumerically("<=", maxUpdateInterval))
		}
	})

	It("sends the first change after a quiet time at once", func() {
		w := &watchers{}
		now := time.Now()
		for i := range 72 {
			w.markSeen(fmt.Sprint(i))
		}
		Expect(w.reserveUpdate("1", now)).To(BeZero())
		Expect(w.reserveUpdate("1", now)).To(Equal(updateInterval(72)))
		Expect(w.reserveUpdate("1", now.Add(time.Second))).To(BeZero())
		Expect(w.reserveUpdate("unknown", now)).To(BeZero())
	})
})

var _ = Describe("Registrar that is not up to date", func() {
	// Guards against whole views that are sent again and again to entry hosts, which may not use them, while a leader is elected after the
	// loss of all processes (sweep at 300 hosts).
	It("sends no whole view to an entry host without one, but changes to one with an older view", func() {
		r, err := New(context.Background(), Options{Name: "r", PeerAddress: "127.0.0.1:1", DataDir: GinkgoT().TempDir()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Stop)
		for _, dataCentre := range []string{"n", "s"} {
			command, err := proto.Marshal(&schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: dataCentre, Out: true}})
			Expect(err).NotTo(HaveOccurred())
			r.state.Apply(0, command)
		}
		watch := func(version uint64) *schemav1.ViewUpdate {
			update, err := r.handleWatch(context.Background(), &schemav1.ViewHello{Version: version, Entry: &schemav1.EntryHost{Name: "e"}})
			Expect(err).NotTo(HaveOccurred())
			Expect(update.GetUpToDate()).To(BeFalse())
			return update
		}
		Expect(proto.Size(watch(0))).To(BeZero())
		Expect(watch(1).GetEvacuated()).To(Equal([]string{"n", "s"}))
	})
})
