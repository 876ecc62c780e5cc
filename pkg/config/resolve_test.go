package config_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const resolveBase = `regions: [{name: east}, {name: west}, {name: south}]
data_centres:
  - {name: east-1, region: east}
  - {name: east-2, region: east, out: true}
  - {name: west-1, region: west, link_mbit: 10, limits: {max_queue: 7}}
  - {name: south-1, region: south, lost: true}
tenants:
  - {name: farm, home_regions: [west, east]}
  - {name: mill, home_regions: [east], weight: 3}
classes: [{name: booking, deadline_ms: 7000}]
limits: {max_body_bytes: 1000, max_callers: 9}
services:
  - name: desk
    kind: exclusive
    home_regions: [east, west]
    limits: {deadline_ms: 900, max_queue: 5}
    routes:
      - {path_prefix: /, class: interactive}
      - {path_prefix: /orders/, class: booking, deadline_ms: 100, idempotent_methods: [POST]}
      - {path_prefix: /orders/west, class: booking, home_regions: [east], separate_keys: true, max_body_bytes: 5}
  - name: library
    kind: shared
    shards: 8
    routes: [{path_prefix: /files, class: file}, {path_prefix: /slots, class: booking}]
`

// compiled returns the snapshot of resolveBase.
func compiled() *config.Snapshot {
	configuration, lines := load(resolveBase)
	Expect(lines).To(BeEmpty())
	configuration.Revision = 12
	snapshot, err := config.Compile(configuration)
	Expect(err).NotTo(HaveOccurred())
	return snapshot
}

// A request that resolves to the wrong route could leave its home regions (I5) or run twice (I8).
var _ = DescribeTable("Resolve",
	func(service, tenant, method, path, prefix, keyspace string, idempotent bool, deadline time.Duration, maxBody int) {
		resolution, err := compiled().Resolve(service, tenant, method, path)
		Expect(err).NotTo(HaveOccurred())
		Expect(resolution.Route.GetPathPrefix()).To(Equal(prefix))
		Expect(resolution.Keyspace).To(Equal(keyspace))
		Expect(resolution.Idempotent).To(Equal(idempotent))
		Expect(resolution.Deadline).To(Equal(deadline))
		Expect(resolution.MaxBodyBytes).To(BeEquivalentTo(maxBody))
		Expect(resolution.Tenant.GetName()).To(Equal(tenant))
		Expect(resolution.Class).To(Equal(resolution.Route.GetClass()))
		Expect(resolution.Service.GetName()).To(Equal(service))
	},
	Entry("root", "desk", "", "GET", "", "/", "desk/east+west", true, 900*time.Millisecond, 1000),
	Entry("not a segment boundary", "desk", "", "POST", "/ordersx", "/", "desk/east+west", false, 900*time.Millisecond, 1000),
	Entry("prefix itself", "desk", "farm", "POST", "/orders", "/orders/", "desk/east+west", true, 100*time.Millisecond, 1000),
	Entry("trailing slash", "desk", "mill", "PATCH", "/orders/", "/orders/", "desk/east", false, 100*time.Millisecond, 1000),
	Entry("longest prefix", "desk", "farm", "PUT", "/orders/west/1", "/orders/west", "desk/east", true, 900*time.Millisecond, 5),
	Entry("next to the longest prefix", "desk", "", "DELETE", "/orders/westward", "/orders/", "desk/east+west", true, 100*time.Millisecond, 1000),
	Entry("lower-case method", "desk", "", "get", "/a", "/", "desk/east+west", false, 900*time.Millisecond, 1000),
	Entry("no regions", "library", "", "HEAD", "/files/a/b", "/files", "library/*", true, 5*time.Minute, 1000),
	Entry("tenant regions only", "library", "mill", "GET", "/slots", "/slots", "library/east", true, 7*time.Second, 1000),
)

// A refusal here must be true about the request: nothing was sent anywhere.
var _ = DescribeTable("Resolve refuses",
	func(service, tenant, method, path string, code apierr.Code, message string) {
		_, err := compiled().Resolve(service, tenant, method, path)
		refusal := apierr.From(err)
		Expect(refusal.Code).To(Equal(code))
		Expect(refusal.Ran).To(Equal(apierr.NotRun))
		Expect(refusal.Message).To(Equal(message))
	},
	Entry("service", "dsk", "", "GET", "/", apierr.UnknownService, "there is no service of this name"),
	Entry("tenant", "desk", "farmer", "GET", "/", apierr.UnknownTenant, "there is no tenant of this name"),
	Entry("no route", "library", "", "GET", "/", apierr.BadRequest, "service library has no route for this path"),
	Entry("dot segment", "desk", "", "GET", "/orders/west/../x", apierr.BadRequest, "the path has a dot segment"),
	Entry("dot segment at the end", "desk", "", "GET", "/orders/west/..", apierr.BadRequest, "the path has a dot segment"),
	Entry("empty segment", "desk", "", "GET", "//orders", apierr.BadRequest, "the path has an empty segment"),
	Entry("backslash", "desk", "", "GET", `/a\..\b`, apierr.BadRequest, "the path has a control character or backslash"),
	Entry("relative", "desk", "", "GET", "orders", apierr.BadRequest, "the path does not start with /"),
	Entry("TRACE", "desk", "", "TRACE", "/", apierr.BadRequest, "the method is not supported"),
	Entry("no method", "desk", "", "", "/", apierr.BadRequest, "the method is not supported"),
)

var _ = Describe("Snapshot", func() {
	It("lists the keyspaces in use", func() {
		var ids []string
		for _, space := range compiled().Keyspaces() {
			ids = append(ids, space.ID)
			Expect(space.Exclusive).To(Equal(space.Service == "desk"))
			Expect(space.Shards).To(BeEquivalentTo(map[string]int{"desk": 256, "library": 8}[space.Service]))
		}
		Expect(ids).To(Equal([]string{"desk/east+west", "desk/east", "library/*", "library/east+west", "library/east"}))
	})

	It("leaves out data centres that are out or lost (I4)", func() {
		snapshot := compiled()
		Expect(snapshot.DataCentresFor(nil)).To(Equal([]string{"east-1", "west-1"}))
		Expect(snapshot.DataCentresFor([]string{"east"})).To(Equal([]string{"east-1"}))
		Expect(snapshot.DataCentresFor([]string{"south"})).To(BeEmpty())
		Expect(snapshot.RegionOf("east-2")).To(Equal("east"))
		Expect(snapshot.RegionOf("unknown")).To(BeEmpty())
		Expect(snapshot.Revision()).To(BeEquivalentTo(12))
	})

	It("gives the limits of a site, the base file and the defaults", func() {
		snapshot := compiled()
		Expect(snapshot.LimitsAt("west-1").GetMaxQueue()).To(BeEquivalentTo(7))
		Expect(snapshot.LimitsAt("west-1").GetMaxCallers()).To(BeEquivalentTo(9))
		Expect(snapshot.LimitsAt("east-1").GetMaxQueue()).To(BeEquivalentTo(config.DefaultMaxQueue))
		Expect(snapshot.MaxQueueAt("west-1", "desk")).To(BeEquivalentTo(5))
		Expect(snapshot.MaxQueueAt("west-1", "library")).To(BeEquivalentTo(7))
		Expect(snapshot.LinkMbit("west-1")).To(BeEquivalentTo(10))
	})

	It("is not changed by later changes of its source", func() {
		configuration, _ := load(resolveBase)
		snapshot, err := config.Compile(configuration)
		Expect(err).NotTo(HaveOccurred())
		configuration.Services[0].Kind = schemav1.ServiceKind_SERVICE_KIND_SHARED
		Expect(snapshot.Configuration().GetServices()[0].GetKind()).To(Equal(schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE))
	})

	It("resolves without allocating", func() {
		snapshot := compiled()
		Expect(testing.AllocsPerRun(100, func() { _, _ = snapshot.Resolve("desk", "mill", "GET", "/orders/west/1") })).To(BeZero())
	})
})

func BenchmarkResolve(b *testing.B) {
	RegisterTestingT(b)
	snapshot := compiled()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := snapshot.Resolve("desk", "mill", "GET", "/orders/west/1/lines/4"); err != nil {
			b.Fatal(err)
		}
	}
}
