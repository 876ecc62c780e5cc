package registrar

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
