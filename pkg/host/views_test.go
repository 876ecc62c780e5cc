package host

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// A late response of the control group, or the table of a generation that started from an older state, must not return a
// host to an earlier revision.
var _ = Describe("I11: the control view of a host", func() {
	view := func(index, revision uint64) *schemav1.ControlView {
		return &schemav1.ControlView{Index: index, Configuration: &schemav1.Configuration{
			Revision:    revision,
			Regions:     []*schemav1.Region{{Name: "r"}},
			DataCentres: []*schemav1.DataCentre{{Name: "a", Region: "r"}},
			Services: []*schemav1.Service{{
				Name: "desk", Kind: schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE, Shards: 8,
				Routes: []*schemav1.Route{{PathPrefix: "/", Class: schemav1.RequestClass_REQUEST_CLASS_INTERACTIVE}},
			}},
		}}
	}

	It("never returns to an older one", func() {
		var views viewStore
		Expect(views.installIfNewer(view(5, 2))).To(BeTrue())
		Expect(views.installIfNewer(view(4, 1))).To(BeFalse())
		Expect(views.installIfNewer(view(5, 2))).To(BeFalse())
		Expect(views.revision()).To(Equal(uint64(2)))
		Expect(views.installIfNewer(view(6, 3))).To(BeTrue())
		Expect(views.revision()).To(Equal(uint64(3)))
	})
})
