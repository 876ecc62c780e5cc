package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/cli/ctl"
	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

const baseText = `regions: [{name: east}]
data_centres: [{name: east-1, region: east}]
services:
  - {name: desk, kind: exclusive, shards: 16, routes: [{path_prefix: /, class: booking}]}
`

// fakeAPI is a server with the administration API of a host.
type fakeAPI struct {
	*httptest.Server
	// mu protects the fields below. The network does not order a request after one whose response was dropped: nothing was
	// written to the connection of the dropped one, and the next request uses another connection.
	mu      sync.Mutex
	inForce *schemav1.Configuration
	// lost is the number of submissions whose response is dropped after they have taken effect.
	lost     int
	outcomes map[string]*schemav1.SubmissionOutcome
	verdict  *schemav1.SubmissionOutcome
	plan     *schemav1.Plan
	bodies   []string
	urls     []string
	status   int
	object   string
}

func newFakeAPI() *fakeAPI {
	fake := &fakeAPI{status: http.StatusOK, object: `{"leader":"h1","hosts":[{"name":"h1","load":0.5}]}`, outcomes: map[string]*schemav1.SubmissionOutcome{}}
	fake.inForce, _ = config.Load(config.SourceFile{Name: "base.yaml", Content: []byte(baseText)}, nil)
	fake.inForce.Revision = 7
	fake.verdict = &schemav1.SubmissionOutcome{Verdict: schemav1.SubmissionOutcome_VERDICT_ACCEPTED, Revision: 8}
	fake.Server = httptest.NewServer(fake)
	DeferCleanup(fake.Close)
	return fake
}

func (f *fakeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.urls = append(f.urls, r.Method+" "+r.URL.String())
	var response proto.Message
	switch r.URL.Path {
	case "/v1/configuration":
		if f.inForce == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		response = f.inForce
	case "/v1/plan":
		response = f.plan
	case "/v1/submit":
		f.bodies = append(f.bodies, string(body))
		if response = f.submit(body); f.lost > 0 {
			f.lost--
			panic(http.ErrAbortHandler)
		}
	default:
		w.WriteHeader(f.status)
		_, _ = io.WriteString(w, f.object)
		return
	}
	encoded, _ := protojson.Marshal(response)
	if r.Method == http.MethodPost {
		w.WriteHeader(f.status)
	}
	_, _ = w.Write(encoded)
}

// submit returns the outcome of a submission, which is the same for all submissions with one id.
func (f *fakeAPI) submit(body []byte) *schemav1.SubmissionOutcome {
	submission := &schemav1.Submission{}
	_ = protojson.Unmarshal(body, submission)
	if _, known := f.outcomes[submission.GetId()]; !known {
		f.outcomes[submission.GetId()] = proto.CloneOf(f.verdict)
		f.outcomes[submission.GetId()].Id = submission.GetId()
	}
	return f.outcomes[submission.GetId()]
}

// result is the result of one run of almondctl.
type result struct {
	code     int
	out, err string
	delays   []time.Duration
}

func run(fake *fakeAPI, environ []string, args ...string) result {
	var out, errs bytes.Buffer
	var r result
	if fake != nil {
		args = append(args, "--insecure", "--address", strings.TrimPrefix(fake.URL, "http://"))
	}
	r.code = ctl.Run(context.Background(), args, ctl.Options{
		Out: &out, Err: &errs, Environ: environ,
		Sleep: func(_ context.Context, delay time.Duration) error {
			r.delays = append(r.delays, delay)
			if len(r.delays) > 5 {
				return context.DeadlineExceeded
			}
			return nil
		},
		Now: func() time.Time { return time.UnixMilli(99) }, NewID: func() string { return "drawn" },
	})
	if fake != nil {
		// Synchronises the test's reads with the handlers, which release the lock before their connections are closed.
		fake.mu.Lock()
		defer fake.mu.Unlock()
	}
	r.out, r.err = out.String(), errs.String()
	return r
}

// write writes files, given as pairs of name and content, to a temporary directory and makes it the working directory, so that
// file names in messages are short.
func write(pairs ...string) {
	dir := GinkgoT().TempDir()
	for i := 0; i < len(pairs); i += 2 {
		Expect(os.WriteFile(filepath.Join(dir, pairs[i]), []byte(pairs[i+1]), 0o600)).To(Succeed())
	}
	GinkgoT().Chdir(dir)
}

// Scripts depend on the exit codes, and editors use file, line and column to jump to problems.
var _ = DescribeTable("commands without a connection",
	func(code int, out, errs string, args ...string) {
		write("base.yaml", baseText, "bad.yaml", strings.Replace(baseText, "16", "17", 1), "site.yaml", "data_centre: east-2\n")
		r := run(nil, nil, args...)
		Expect(r.code).To(Equal(code))
		Expect(r.out).To(ContainSubstring(out))
		Expect(r.err).To(Equal(errs))
	},
	Entry("check", ctl.ExitOK, "the files are valid: 1 services, 1 data centres, 0 tenants\n", "", "check", "--base", "base.yaml"),
	Entry("check as JSON", ctl.ExitOK, `"name": "desk"`, "", "check", "--base", "base.yaml", "--output", "json"),
	Entry("check of files with several problems", ctl.ExitRefused, "", "bad.yaml:4:35: services[0].shards must be a power of two, not 17 (power-of-two); write shards: 32\n"+
		`site.yaml:1:1: the base file has no data centre "east-2" (unknown-site); did you mean east-1?`+"\n",
		"check", "--base", "bad.yaml", "--overlay", "site.yaml"),
	Entry("missing file", ctl.ExitUsage, "", "almondctl: open none.yaml: no such file or directory\nRun 'almondctl --help' for usage.\n", "check", "--base", "none.yaml"),
	Entry("missing flag", ctl.ExitUsage, "", "almondctl: required flag(s) \"base\" not set\nRun 'almondctl --help' for usage.\n", "check"),
	Entry("unknown command", ctl.ExitUsage, "", "almondctl: unknown command \"chekc\" for \"almondctl\"\nRun 'almondctl --help' for usage.\n", "chekc"),
	Entry("wrong settings", ctl.ExitUsage, "", `--output (ALMONDROCK_OUTPUT): "xml" from the flag; expected one of text, json`+"\n", "version", "--output", "xml"),
	Entry("neither TLS nor plain text chosen", ctl.ExitUsage, "", "almondctl: neither TLS files nor --insecure are set; "+
		"set --tls-certificate, --tls-key and --tls-authorities, or --insecure for plain text\nRun 'almondctl --help' for usage.\n", "status"),
	Entry("version", ctl.ExitOK, "almondctl ", "", "version"),
	Entry("version as JSON", ctl.ExitOK, `"go": "go`, "", "version", "--output", "json"),
	Entry("shell completion", ctl.ExitOK, "bash completion", "", "completion", "bash"),
	Entry("completion of a value", ctl.ExitOK, "json\n", "Completion ended with directive: ShellCompDirectiveNoFileComp\n", "__complete", "status", "--output", ""),
)

// A submission whose response is lost must neither take effect twice nor be reported as failed (I11).
var _ = Describe("submit", func() {
	submit := []string{"submit", "--base", "base.yaml", "--operator", "ana"}
	sent := func(fake *fakeAPI) *schemav1.Submission {
		submission := &schemav1.Submission{}
		Expect(protojson.Unmarshal([]byte(fake.bodies[0]), submission)).To(Succeed())
		return submission
	}

	BeforeEach(func() { write("base.yaml", strings.Replace(baseText, "16", "32", 1), "bad.yaml", "regions: 1\n") })

	It("bases the files on the revision in force and generates an id", func() {
		fake := newFakeAPI()
		r := run(fake, nil, submit...)
		Expect(r.err).To(BeEmpty())
		Expect(r.code).To(Equal(ctl.ExitOK))
		Expect(r.out).To(Equal("accepted as revision 8 (submission drawn)\n"))
		Expect(sent(fake)).To(SatisfyAll(HaveField("Id", "drawn"), HaveField("BasedOn", BeEquivalentTo(7)),
			HaveField("Operator", "ana"), HaveField("SubmittedUnixMs", BeEquivalentTo(99))))
		Expect(sent(fake).GetBase().GetName()).To(Equal("base.yaml"))
	})

	It("uses the id and the revision given by flags", func() {
		fake := newFakeAPI()
		Expect(run(fake, nil, append(submit, "--id", "mine", "--based-on", "0")...).code).To(Equal(ctl.ExitOK))
		Expect(fake.urls).To(Equal([]string{"POST /v1/submit"}))
		Expect(sent(fake)).To(SatisfyAll(HaveField("Id", "mine"), HaveField("BasedOn", BeZero())))
	})

	It("bases the files on revision 0 if there is no revision yet", func() {
		fake := newFakeAPI()
		fake.inForce = nil
		Expect(run(fake, nil, submit...).code).To(Equal(ctl.ExitOK))
		Expect(sent(fake).GetBasedOn()).To(BeZero())
	})

	It("retries with the same bytes after lost responses", func() {
		fake := newFakeAPI()
		fake.lost = 3
		r := run(fake, nil, submit...)
		Expect(r.code).To(Equal(ctl.ExitOK))
		Expect(fake.bodies).To(HaveLen(4))
		Expect(fake.outcomes).To(HaveLen(1))
		for _, body := range fake.bodies {
			Expect(body).To(Equal(fake.bodies[0]))
		}
		Expect(r.delays).To(Equal([]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}))
	})

	It("reports an unknown outcome with the submission id if there is no response", func() {
		fake := newFakeAPI()
		fake.lost = 100
		r := run(fake, nil, submit...)
		Expect(r.code).To(Equal(ctl.ExitUnreachable))
		Expect(r.err).To(ContainSubstring("The outcome of the submission is unknown. Submit the same files with --id drawn --based-on 7 to learn it.\n"))
	})

	It("shows who won a conflict and the difference", func() {
		fake := newFakeAPI()
		fake.inForce.Revision = 8
		fake.verdict = &schemav1.SubmissionOutcome{Verdict: schemav1.SubmissionOutcome_VERDICT_CONFLICT, Revision: 8, WinnerId: "theirs", WinnerOperator: "bo"}
		r := run(fake, nil, append(submit, "--based-on", "7")...)
		Expect(r.code).To(Equal(ctl.ExitRefused))
		Expect(r.out).To(Equal("revision 8 was won by \"bo\" (submission \"theirs\")\nyour files would change revision 8 as follows:\n" +
			"  services[desk].shards: 16 -> 32\n"))
		Expect(r.err).To(Equal("conflict: the files are based on revision 7, but revision 8 is in force\n"))
	})

	It("shows the problems of a refusal", func() {
		fake := newFakeAPI()
		fake.status = http.StatusUnprocessableEntity
		fake.verdict = &schemav1.SubmissionOutcome{Verdict: schemav1.SubmissionOutcome_VERDICT_REFUSED, Revision: 7, Problems: []*schemav1.Problem{
			{File: "base.yaml", Line: 4, Column: 3, Rule: "dangerous-change", Message: "no"},
		}}
		r := run(fake, nil, submit...)
		Expect([]any{r.code, r.out, r.err}).To(Equal([]any{ctl.ExitRefused, "refused; revision 7 stays in force\n", "base.yaml:4:3: no (dangerous-change)\n"}))
	})

	// The body of a typed refusal has no outcome. If it were treated as a lost response, submit would retry until the timeout.
	It("does not retry after a refusal without an outcome", func() {
		fake := newFakeAPI()
		fake.status, fake.verdict = http.StatusConflict, &schemav1.SubmissionOutcome{}
		r := run(fake, nil, submit...)
		Expect(r.code).To(Equal(ctl.ExitRefused))
		Expect(fake.bodies).To(HaveLen(1))
	})

	// The first attempt, whose response was lost, may have taken effect, so it is unknown whether anything has changed.
	It("does not report a refusal after a lost response as final", func() {
		fake := newFakeAPI()
		fake.lost, fake.status = 1, http.StatusBadRequest
		r := run(fake, nil, submit...)
		Expect(r.code).To(Equal(ctl.ExitUnreachable))
		Expect(r.err).To(ContainSubstring("The outcome of the submission is unknown."))
		Expect(fake.bodies).To(HaveLen(2))
	})

	It("sends nothing if the local check refuses the files", func() {
		fake := newFakeAPI()
		Expect(run(fake, nil, "submit", "--base", "bad.yaml").code).To(Equal(ctl.ExitRefused))
		Expect(fake.urls).To(BeEmpty())
	})
})

var _ = Describe("plan", func() {
	It("shows moves, data centres and regions, and problems on standard error", func() {
		write("base.yaml", baseText)
		fake := newFakeAPI()
		fake.plan = &schemav1.Plan{
			Changes:     []*schemav1.PlannedChange{{Path: "data_centres[east-1].out", NewValue: "true"}},
			Keyspaces:   []*schemav1.KeyspacePlan{{Keyspace: "desk/*", Shards: 16, Moves: []*schemav1.ShardMoves{{From: "a", To: "b", Shards: 4}}, Stranded: 2}, {Keyspace: "desk/east"}},
			DataCentres: []*schemav1.DataCentrePlan{{Name: "a", Region: "east", InServiceBefore: true, ShardsBefore: 4, Slots: 6}},
			Regions:     []*schemav1.RegionPlan{{Name: "east", DataCentresBefore: 2, DataCentresAfter: 1, SlotsBefore: 12, SlotsAfter: 6}},
			Problems:    []*schemav1.Problem{{Message: "no", Rule: "r", Suggestion: "write x"}},
			Estimated:   true,
		}
		r := run(fake, nil, "plan", "--base", "base.yaml")
		Expect(r.code).To(Equal(ctl.ExitRefused))
		Expect(r.out).To(Equal(`changes: 1
  data_centres[east-1].out: (none) -> true
keyspace desk/* (16 shards): 4 from a to b, 2 WITHOUT A DATA CENTRE
data centre a (east): in service -> out, shards 4 -> 0, 6 slots
region east: data centres in service 2 -> 1, slots 12 -> 6
The delegations in force are not known for all keyspaces; an even spread is assumed.
`))
		Expect(r.err).To(Equal("no (r); write x\n"))
	})
})

var _ = Describe("status and explain", func() {
	It("prints one line per value, or the JSON", func() {
		fake := newFakeAPI()
		Expect(run(fake, nil, "status").out).To(Equal("hosts[0].load: 0.5\nhosts[0].name: h1\nleader: h1\n"))
		r := run(fake, []string{"ALMONDROCK_OUTPUT=json"}, "explain", "a b&c", "--service", "desk", "--tenant", "t")
		Expect(json.Valid([]byte(r.out))).To(BeTrue())
		Expect(fake.urls[1]).To(Equal("GET /v1/explain?key=a+b%26c&service=desk&tenant=t"))
	})

	DescribeTable("failures",
		func(status int, object string, code int, expected string) {
			fake := newFakeAPI()
			fake.status, fake.object = status, object
			r := run(fake, nil, "explain", "secret-key", "--service", "desk")
			Expect(r.code).To(Equal(code))
			Expect(strings.ReplaceAll(r.err, strings.TrimPrefix(fake.URL, "http://"), "HOST")).To(Equal(expected + "\n"))
		},
		Entry("refused", 404, `{"code":"unknown-service","ran":"not-run","message":"no desk"}`, ctl.ExitRefused, "refused by HOST: unknown-service: no desk"),
		Entry("refused without a reason", 400, `?`, ctl.ExitRefused, "refused by HOST: HTTP status 400"),
		Entry("no leader", 503, `{"code":"no-owner","message":"no leader"}`, ctl.ExitUnreachable, "almondctl: no answer from HOST: no-owner: no leader"),
		Entry("not JSON", 200, `<html>`, ctl.ExitUnreachable, "almondctl: no answer from HOST: the answer is not JSON"),
	)

	// Keys are data of tenants and must not appear in errors, but the errors of net/http contain the whole URL.
	It("does not print the key if the host is down", func() {
		fake := newFakeAPI()
		fake.Close()
		r := run(fake, nil, "explain", "secret-key", "--service", "desk")
		Expect(r.code).To(Equal(ctl.ExitUnreachable))
		Expect(r.err).NotTo(ContainSubstring("secret-key"))
	})

	It("reports that the output can't be written", func() {
		code := ctl.Run(context.Background(), []string{"version"}, ctl.Options{Out: failingWriter{}, Err: io.Discard})
		Expect(code).To(Equal(ctl.ExitUnreachable))
	})
})

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }

// Guards against a part of a response that is taken for the whole, because the end of the connection is the end of a body without a length. Go's client
// takes it for complete when the write of the request meets the reset of the connection.
var _ = It("takes no part of a response without a length for an answer", func() {
	parts := map[string]string{"/v1/submit": `{"id":"s","verdict":"VERDICT_ACCEPTED"`, "/v1/plan": `{"moves":[`, "/v1/configuration": `{"revision":"7"`, "/v1/status": `{"leader":"h1"`}
	host, err := standin.StartRaw(func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+parts[r.URL.Path])
		time.Sleep(time.Millisecond)
		standin.Reset(c)
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(host.Close)
	client := ctl.NewClient(host.Address(), nil)
	submission := &schemav1.Submission{Id: "s", Base: &schemav1.SourceFile{Name: "base.yaml", Content: make([]byte, 8<<20)}}
	for range 20 {
		for _, call := range []func(context.Context) error{
			func(ctx context.Context) error { _, err := client.Submit(ctx, submission); return err },
			func(ctx context.Context) error { _, err := client.Plan(ctx, submission); return err },
			func(ctx context.Context) error { _, err := client.Configuration(ctx); return err },
			func(ctx context.Context) error { _, err := client.Status(ctx); return err },
		} {
			var unreachable *ctl.UnreachableError
			Expect(errors.As(call(context.Background()), &unreachable)).To(BeTrue())
		}
	}
})
