package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	"almondrock.example/almondrock/pkg/admin"
	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

// fakeBackend answers with err, or with fixed messages; outcomes holds the first outcome of each submission id.
type fakeBackend struct {
	ready    bool
	err      error
	revision uint64
	verdict  schemav1.SubmissionOutcome_Verdict
	outcomes map[string]*schemav1.SubmissionOutcome
	commits  int
	operator string
}

func (f *fakeBackend) Ready() (bool, string) { return f.ready, "no configuration yet" }

func (f *fakeBackend) Status(context.Context) (*schemav1.StatusReport, error) {
	return &schemav1.StatusReport{AnsweredBy: "h1", Revision: f.revision}, f.err
}

func (f *fakeBackend) Explain(_ context.Context, service, _, key string) (*schemav1.Explanation, error) {
	return &schemav1.Explanation{Service: service, Reason: "length " + string(rune('0'+len(key)))}, f.err
}

func (f *fakeBackend) Configuration() *schemav1.Configuration {
	if f.revision == 0 {
		return nil
	}
	return &schemav1.Configuration{Revision: f.revision}
}

func (f *fakeBackend) Plan(_ context.Context, submission *schemav1.Submission) (*schemav1.Plan, error) {
	return &schemav1.Plan{OldRevision: submission.GetBasedOn()}, f.err
}

func (f *fakeBackend) Submit(_ context.Context, submission *schemav1.Submission) (*schemav1.SubmissionOutcome, error) {
	f.operator = submission.GetOperator()
	if f.err != nil {
		return nil, f.err
	}
	if f.outcomes[submission.GetId()] == nil {
		f.commits++
		f.outcomes[submission.GetId()] = &schemav1.SubmissionOutcome{Id: submission.GetId(), Verdict: f.verdict, Revision: 8}
	}
	return f.outcomes[submission.GetId()], nil
}

var metrics = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "almondrock_x 1\n") })

func newBackend() *fakeBackend {
	return &fakeBackend{ready: true, revision: 7, verdict: schemav1.SubmissionOutcome_VERDICT_ACCEPTED, outcomes: map[string]*schemav1.SubmissionOutcome{}}
}

func call(backend *fakeBackend, method, path string, body io.Reader) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	admin.NewHandler(backend, metrics, admin.AccessPolicy{}).ServeHTTP(recorder, httptest.NewRequest(method, path, body))
	return recorder
}

func refusalOf(response *httptest.ResponseRecorder) apierr.Body {
	var body apierr.Body
	Expect(response.Header().Get("Content-Type")).To(Equal("application/json"))
	Expect(json.Unmarshal(response.Body.Bytes(), &body)).To(Succeed())
	Expect(body.Message).NotTo(BeEmpty())
	return body
}

const submission = `{"id":"s1","basedOn":"7","operator":"ana"}`

// The paths are an interface to operators' tools, the platform's balancer and scrapers.
var _ = DescribeTable("answers", func(method, path, body string, status int, contains string) {
	response := call(newBackend(), method, path, strings.NewReader(body))
	Expect(response.Code).To(Equal(status))
	Expect(strings.ReplaceAll(response.Body.String(), " ", "")).To(ContainSubstring(contains))
},
	Entry("health", "GET", "/healthz", "", 200, "ok\n"),
	Entry("readiness", "GET", "/readyz", "", 200, "ready\n"),
	Entry("metrics", "GET", "/metrics", "", 200, "almondrock_x"),
	Entry("status with fields that have their default", "GET", "/v1/status", "", 200, `"inForceEverywhere":false`),
	Entry("explain", "GET", "/v1/explain?service=desk&key=abc", "", 200, `"reason":"length3"`),
	Entry("configuration", "GET", "/v1/configuration", "", 200, `"revision":"7"`),
	Entry("plan", "POST", "/v1/plan", submission, 200, `"oldRevision":"7"`),
	Entry("submit", "POST", "/v1/submit", submission, 200, `"verdict":"VERDICT_ACCEPTED"`),
	Entry("index of profiles", "GET", "/debug/pprof/", "", 200, "goroutine"),
	Entry("a profile", "GET", "/debug/pprof/goroutine?debug=1", "", 200, "goroutineprofile"),
)

var _ = Describe("readiness", func() {
	// The balancer decides by the status; operators read the reasons.
	It("answers 503 with the reasons", func() {
		backend := newBackend()
		backend.ready = false
		response := call(backend, "GET", "/readyz", nil)
		Expect([]any{response.Code, response.Body.String()}).To(Equal([]any{503, "no configuration yet\n"}))
	})
})

// Tools tell failures apart by code and ran; text or an empty body would leave them to guess.
var _ = Describe("refusals", func() {
	DescribeTable("of requests that reach no backend", func(method, path, body string, status int, code apierr.Code) {
		backend := newBackend()
		backend.revision = 0
		response := call(backend, method, path, strings.NewReader(body))
		Expect(response.Code).To(Equal(status))
		Expect(refusalOf(response)).To(SatisfyAll(HaveField("Code", code), HaveField("Ran", apierr.NotRun)))
		Expect(backend.commits).To(BeZero())
	},
		Entry("unknown path", "GET", "/v1/none", "", 404, apierr.NotFound),
		Entry("unknown method", "DELETE", "/v1/status", "", 405, apierr.MethodNotAllowed),
		Entry("read of a path to submit", "GET", "/v1/submit", "", 405, apierr.MethodNotAllowed),
		Entry("unknown profile", "GET", "/debug/pprof/none", "", 404, apierr.NotFound),
		Entry("no configuration", "GET", "/v1/configuration", "", 404, apierr.NotFound),
		Entry("submission without an id", "POST", "/v1/submit", `{"basedOn":"7"}`, 400, apierr.BadRequest),
		Entry("submission that is not JSON", "POST", "/v1/submit", `<xml>`, 400, apierr.BadRequest),
		Entry("submission with an unknown field", "POST", "/v1/submit", `{"id":"a","colour":1}`, 400, apierr.BadRequest),
		Entry("empty plan", "POST", "/v1/plan", ``, 400, apierr.BadRequest),
	)

	paths := [][2]string{{"GET", "/v1/status"}, {"GET", "/v1/explain?service=a&key=b"}, {"POST", "/v1/plan"}, {"POST", "/v1/submit"}}
	DescribeTable("of the backend on every path", func(err error, status int, code apierr.Code, ran apierr.RunStatus, retryAfter string) {
		for _, path := range paths {
			backend := newBackend()
			backend.err = err
			response := call(backend, path[0], path[1], strings.NewReader(submission))
			Expect(response.Code).To(Equal(status), path[1])
			Expect(refusalOf(response)).To(SatisfyAll(HaveField("Code", code), HaveField("Ran", ran)))
			Expect(response.Header().Get("Retry-After")).To(Equal(retryAfter))
		}
	},
		Entry("typed", apierr.New(apierr.WrongRegion, "home regions: [seoul]"), 421, apierr.WrongRegion, apierr.NotRun, ""),
		Entry("with a time to wait", apierr.Wrap(&apierr.Refusal{Code: apierr.OutcomeUnknown, Ran: apierr.RunUnknown, Message: "m", RetryAfter: time.Second}),
			504, apierr.OutcomeUnknown, apierr.RunUnknown, "1"),
		Entry("without a type", errors.New("secret detail"), 500, apierr.Internal, apierr.RunUnknown, ""),
	)

	It("does not show the text of an error without a type", func() {
		backend := newBackend()
		backend.err = errors.New("secret detail")
		Expect(call(backend, "GET", "/v1/status", nil).Body.String()).NotTo(ContainSubstring("secret"))
	})

	// Without the limit, one request could take all memory of the host.
	DescribeTable("of bodies over 64 MiB", func(length int64) {
		backend := newBackend()
		request := httptest.NewRequest("POST", "/v1/submit", io.LimitReader(zeros{}, 64<<20+1))
		request.ContentLength = length
		response := httptest.NewRecorder()
		admin.NewHandler(backend, metrics, admin.AccessPolicy{}).ServeHTTP(response, request)
		Expect(response.Code).To(Equal(413))
		Expect(refusalOf(response).Code).To(Equal(apierr.BodyTooLarge))
		Expect(backend.commits).To(BeZero())
	},
		Entry("with a length", int64(64<<20+1)),
		Entry("in chunks", int64(-1)),
	)
})

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// almondctl reads the verdict and falls back to the status; scripts with curl have only the status.
var _ = Describe("submit", func() {
	DescribeTable("maps verdicts", func(verdict schemav1.SubmissionOutcome_Verdict, status int) {
		backend := newBackend()
		backend.verdict = verdict
		response := call(backend, "POST", "/v1/submit", strings.NewReader(submission))
		Expect(response.Code).To(Equal(status))
		outcome := &schemav1.SubmissionOutcome{}
		Expect(protojson.Unmarshal(response.Body.Bytes(), outcome)).To(Succeed())
		Expect(outcome).To(SatisfyAll(HaveField("Verdict", verdict), HaveField("Id", "s1")))
	},
		Entry("accepted", schemav1.SubmissionOutcome_VERDICT_ACCEPTED, 200),
		Entry("conflict", schemav1.SubmissionOutcome_VERDICT_CONFLICT, 409),
		Entry("refused", schemav1.SubmissionOutcome_VERDICT_REFUSED, 422),
	)

	// The first answer to an id is the only one, also with its status (I11).
	It("gives a resend the first answer and status", func() {
		backend := newBackend()
		backend.verdict = schemav1.SubmissionOutcome_VERDICT_CONFLICT
		first := call(backend, "POST", "/v1/submit", strings.NewReader(submission))
		backend.verdict = schemav1.SubmissionOutcome_VERDICT_ACCEPTED
		second := call(backend, "POST", "/v1/submit", strings.NewReader(submission))
		Expect(second.Code).To(Equal(first.Code))
		Expect(second.Body.String()).To(MatchJSON(first.Body.String()))
		Expect(backend.commits).To(Equal(1))
	})
})
