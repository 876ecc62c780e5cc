package routes

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func valid() *Configuration {
	return &Configuration{
		Revision: 1,
		Services: map[string]Service{"desk": {Name: "desk"}, "files": {Name: "files"}},
		Routes: []Route{
			{Name: "all", Host: "Desk.example", Prefix: "/", Kind: Safe, Timeout: time.Second, Destinations: []Destination{{"desk", 1}}},
			{Name: "files", Host: "desk.example", Prefix: "/files/", Kind: Download, Timeout: time.Second, Destinations: []Destination{{"files", 75}, {"desk", 25}}},
		},
	}
}

var _ = Describe("Check", func() {
	DescribeTable("refuses a configuration that cannot be used",
		func(change func(c *Configuration), reason string) {
			c := valid()
			Expect(c.Validate()).To(Succeed())
			change(c)
			Expect(c.Validate()).To(MatchError(ContainSubstring(reason)))
		},
		Entry("unknown service", func(c *Configuration) { c.Routes[0].Destinations[0].Service = "none" }, "does not exist"),
		Entry("unknown service among parts", func(c *Configuration) { c.Routes[1].Destinations[1].Service = "none" }, "does not exist"),
		Entry("weights of 0", func(c *Configuration) { c.Routes[1].Destinations = []Destination{{"files", 0}, {"desk", 0}} }, "add up to 0"),
		Entry("no parts", func(c *Configuration) { c.Routes[0].Destinations = nil }, "add up to 0"),
		Entry("long timeout", func(c *Configuration) { c.Routes[0].Timeout = 11 * time.Minute }, "over 10m0s"),
		Entry("prefix without a slash", func(c *Configuration) { c.Routes[0].Prefix = "files/" }, "slash"),
		Entry("empty host", func(c *Configuration) { c.Routes[0].Host = "" }, "host"),
		Entry("unknown kind", func(c *Configuration) { c.Routes[0].Kind = 0 }, "kind"),
		Entry("no timeout", func(c *Configuration) { c.Routes[1].Timeout = 0 }, "timeout is missing"),
		Entry("two routes at one place", func(c *Configuration) { c.Routes[1].Prefix = "/" }, "same host and path prefix"),
		Entry("no version", func(c *Configuration) { c.Revision = 0 }, "version"),
	)
})

var _ = Describe("Find", func() {
	It("takes the longest prefix of the host, whatever its case and port", func() {
		table := Compile(valid())
		for path, want := range map[string]string{"/files/a": "files", "/files": "all", "/": "all"} {
			route, ok := table.Find("DESK.example:80", path)
			Expect(ok).To(BeTrue())
			Expect(route.Name).To(Equal(want), path)
		}
		_, ok := table.Find("other.example", "/")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Splitter", func() {
	It("keeps the shares of the weights over any twenty requests in a row", func() {
		splitter, route := NewSplitter(), &valid().Routes[1]
		var chosen []string
		for range 200 {
			chosen = append(chosen, splitter.Choose(route, 0.3))
		}
		for start := range 180 {
			files := 0
			for _, service := range chosen[start : start+20] {
				if service == "files" {
					files++
				}
			}
			Expect(files).To(BeNumerically("~", 15, 1))
		}
	})

	It("sends nothing to a part of weight 0", func() {
		splitter := NewSplitter()
		route := &Route{Destinations: []Destination{{"files", 0}, {"desk", 1}}}
		for range 10 {
			Expect(splitter.Choose(route, 0.9)).To(Equal("desk"))
		}
	})
})
