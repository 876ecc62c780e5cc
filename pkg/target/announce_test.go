package target_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// An invalid announcement that is accepted would add an unusable target, or any server at all, to the ownership table.
var _ = DescribeTable("announcements are validated",
	func(change func(a *schemav1.Announcement), status int, word string) {
		announcement := &schemav1.Announcement{
			Target: "t1", Service: "desk", Address: "10.0.0.1:8080", BootId: "b", Sequence: 1, Slots: 2, MaxConnections: 130,
			Token: "secret", DataCentre: "seoul-mapo", Load: 0.5,
		}
		if change != nil {
			change(announcement)
		}
		var accepted *schemav1.Announcement
		handler := target.NewAnnouncementHandler(target.AnnouncementOptions{
			Token: "secret", DataCentre: "seoul-mapo",
			Accept: func(_ context.Context, a *schemav1.Announcement) error {
				accepted = a
				return nil
			},
		})
		data, err := protojson.Marshal(announcement)
		Expect(err).NotTo(HaveOccurred())
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, target.AnnouncePath, strings.NewReader(string(data))))
		Expect(recorder.Code).To(Equal(status), recorder.Body.String())
		Expect(recorder.Body.String()).To(ContainSubstring(word))
		Expect(recorder.Body.String()).NotTo(ContainSubstring("secret"))
		if status != http.StatusNoContent {
			Expect(accepted).To(BeNil())
			return
		}
		Expect(accepted.GetTarget()).To(Equal("t1"))
		Expect(accepted.GetToken()).To(BeEmpty())
	},
	Entry("valid", nil, 204, ""),
	Entry("wrong token", func(a *schemav1.Announcement) { a.Token = "x" }, 400, "token"),
	Entry("no name", func(a *schemav1.Announcement) { a.Target = "" }, 400, "target"),
	Entry("name with a slash", func(a *schemav1.Announcement) { a.Target = "a/b" }, 400, "target"),
	Entry("no service", func(a *schemav1.Announcement) { a.Service = "" }, 400, "service"),
	Entry("another data centre", func(a *schemav1.Announcement) { a.DataCentre = "busan" }, 400, "data_centre"),
	Entry("host name as address", func(a *schemav1.Announcement) { a.Address = "example:80" }, 400, "address"),
	Entry("no port", func(a *schemav1.Announcement) { a.Address = "10.0.0.1:0" }, 400, "address"),
	Entry("unspecified address", func(a *schemav1.Announcement) { a.Address = "0.0.0.0:80" }, 400, "address"),
	Entry("no boot id", func(a *schemav1.Announcement) { a.BootId = "" }, 400, "boot_id"),
	Entry("no sequence", func(a *schemav1.Announcement) { a.Sequence = 0 }, 400, "sequence"),
	Entry("no slots", func(a *schemav1.Announcement) { a.Slots = 0 }, 400, "slots"),
	Entry("fewer connections than slots", func(a *schemav1.Announcement) { a.MaxConnections = 2 }, 400, "max_connections"),
	Entry("load over 1", func(a *schemav1.Announcement) { a.Load = 1.5 }, 400, "load"),
	Entry("too large", func(a *schemav1.Announcement) { a.BootId = strings.Repeat("x", 20<<10) }, 413, string(apierr.BodyTooLarge)),
)

var _ = DescribeTable("order of fences", func(lower, higher string) {
	a, ok := target.ParseFence(lower)
	Expect(ok).To(BeTrue())
	b, ok := target.ParseFence(higher)
	Expect(ok).To(BeTrue())
	Expect(lease.CompareFences(a, b)).To(Equal(-1))
	Expect(lease.CompareFences(b, a)).To(Equal(1))
	Expect(target.FormatFence(b)).To(Equal(higher))
},
	Entry("counter", "1.1.9", "1.1.10"),
	Entry("generation before counter", "1.1.10", "1.2.1"),
	Entry("epoch before generation", "1.9.9", "2.1.1"),
)
