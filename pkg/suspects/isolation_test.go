package suspects

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Isolation", func() {
	It("tells which targets run isolated requests, until these end", func() {
		var i Isolation[int]
		occupy := func(choice int, target string, ok bool) (occupied []string) {
			i.Choose(func(o []string) (int, string, bool) {
				occupied = o
				return choice, target, ok
			})
			return occupied
		}
		Expect(occupy(1, "a", true)).To(BeEmpty())
		Expect(occupy(2, "a", true)).To(ConsistOf("a"))
		Expect(occupy(3, "b", false)).To(ConsistOf("a", "a"))
		i.Leave(1)
		i.Leave(7)
		Expect(occupy(4, "b", true)).To(ConsistOf("a"))
		i.Leave(2)
		i.Leave(4)
		Expect(occupy(5, "c", true)).To(BeEmpty())
	})
})
