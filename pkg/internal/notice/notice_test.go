package notice

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNotice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Notice Suite")
}

const leavingHeader = "Leaving"

var _ = Describe("Notice of a target", func() {
	const date, later, dayLater = "Sat, 05 Dec 2026 05:00:00 GMT", "Sat, 05 Dec 2026 05:00:07 GMT", "Sun, 06 Dec 2026 05:00:00 GMT"

	DescribeTable("states a bounded pause",
		func(want time.Duration, date string, fields ...string) {
			header := http.Header{"Retry-After": fields}
			if date != "" {
				header.Set("Date", date)
			}
			notice := Decode(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: header}, leavingHeader)
			Expect(notice).To(Equal(Notice{Pause: want}))
		},
		Entry("whole seconds", 3*time.Second, "", "3"),
		Entry("decimals", 1250*time.Millisecond, "", "1.25"),
		Entry("no leading digit", 500*time.Millisecond, "", ".5"),
		Entry("spaces around", 2*time.Second, "", " 2 "),
		Entry("zero", time.Duration(0), "", "0"),
		Entry("zero with decimals", time.Duration(0), "", "0.000"),
		Entry("negative", time.Duration(0), "", "-5"),
		Entry("the bound", MaxPause, "", "600"),
		Entry("above the bound", MaxPause, "", "600.001"),
		Entry("huge", MaxPause, "", "99999999999999999999"),
		Entry("beyond any number", MaxPause, "", strings.Repeat("9", 400)),
		Entry("an exponent", time.Duration(0), "", "1e3"),
		Entry("NaN", time.Duration(0), "", "NaN"),
		Entry("infinite", time.Duration(0), "", "Inf"),
		Entry("hexadecimal", time.Duration(0), "", "0x10"),
		Entry("two dots", time.Duration(0), "", "1.2.3"),
		Entry("a dot", time.Duration(0), "", "."),
		Entry("empty", time.Duration(0), "", ""),
		Entry("none", time.Duration(0), ""),
		Entry("a list", time.Duration(0), "", "3, 4"),
		Entry("words", time.Duration(0), "", "soon"),
		Entry("a date after that of the response", 7*time.Second, date, later),
		Entry("a date before that of the response", time.Duration(0), later, date),
		Entry("a distant date", MaxPause, date, dayLater),
		Entry("a date in a response without one", time.Duration(0), "", later),
		Entry("a date in a response with an invalid one", time.Duration(0), "today", later),
		Entry("several fields", 4*time.Second, "", "1", "4", "2"),
		Entry("several fields, some invalid", 2*time.Second, "", "soon", "2", "-9"),
	)

	DescribeTable("is that the target leaves",
		func(want bool, status int, values ...string) {
			response := &http.Response{StatusCode: status, Header: http.Header{leavingHeader: values}}
			Expect(Decode(response, leavingHeader).Leaving).To(Equal(want))
		},
		Entry("success", true, 200, "1"),
		Entry("failure", true, 500, "1"),
		Entry("refusal", true, 503, " 1 "),
		Entry("one of several fields", true, 200, "0", "1"),
		Entry("no field", false, 200),
		Entry("zero", false, 200, "0"),
		Entry("another value", false, 200, "yes"),
		Entry("empty", false, 200, ""),
		Entry("a response of a target that was not asked", false, 421, "1"),
	)

	It("asks for a pause only in a 503", func() {
		for _, status := range []int{200, 202, 301, 404, 421, 429, 500, 502, 504} {
			response := &http.Response{StatusCode: status, Header: http.Header{"Retry-After": {"5"}}}
			Expect(Decode(response, leavingHeader).Pause).To(BeZero(), http.StatusText(status))
		}
	})
})
