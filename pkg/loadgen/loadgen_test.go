package loadgen_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/loadgen"
	"almondrock.example/almondrock/pkg/standin"
)

func TestLoadgen(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadgen")
}

// echo responds like a stand-in target that has run the request with this key runs times.
func echo(w http.ResponseWriter, r *http.Request, key string, runs int) {
	body, _ := io.ReadAll(r.Body)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"target": "t1", "key": key, "method": r.Method, "body": string(body), "runs": runs,
	})
}

func respond(w http.ResponseWriter, r *http.Request) {
	echo(w, r, r.Header.Get("Almondrock-Key"), 1)
}

// serve starts a server on loopback that is closed at the end of the spec. It returns the URL for requests.
func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return server.URL + "/fitting-desk/lookup"
}

func options(url string) loadgen.Options {
	return loadgen.Options{
		URL: url, Rate: 2000, Duration: time.Minute, Count: 100, Workers: 10, Keys: 50, PostShare: 0.5,
		Deadline: 5 * time.Second, Seed: 7,
	}
}

var _ = Describe("Run", func() {
	ctx := context.Background()

	DescribeTable("counts responses, refusals and failures",
		func(handler http.HandlerFunc, check func(*loadgen.Report)) {
			report, err := loadgen.Run(ctx, options(serve(handler)))
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Requests).To(Equal(100))
			check(report)
		},
		Entry("complete responses", respond, func(r *loadgen.Report) {
			Expect(r.Successes).To(Equal(100))
			Expect(r.Statuses).To(Equal(map[string]int{"200": 100}))
			Expect(r.Targets).To(Equal(map[string]int{"t1": 100}))
			Expect(r.MismatchedResponses + r.DuplicateExecutions + len(r.Refusals) + len(r.Failures)).To(BeZero())
		}),
		Entry("refusals by code", func(w http.ResponseWriter, _ *http.Request) {
			apierr.Write(w, "1", apierr.New(apierr.Overloaded, "full"))
		}, func(r *loadgen.Report) {
			Expect(r.Successes).To(BeZero())
			Expect(r.Statuses).To(Equal(map[string]int{"503": 100}))
			Expect(r.Refusals).To(Equal(map[string]int{"overloaded not-run": 100}))
		}),
		Entry("responses with the key of another request (I6)", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r, "another", 1)
		}, func(r *loadgen.Report) { Expect(r.MismatchedResponses).To(Equal(100)) }),
		Entry("non-idempotent requests that ran twice (I8)", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r, r.Header.Get("Almondrock-Key"), 2)
		}, func(r *loadgen.Report) {
			Expect(r.DuplicateExecutions).To(And(BeNumerically(">", 30), BeNumerically("<", 70)))
		}),
		Entry("truncated responses (I6)", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		}, func(r *loadgen.Report) { Expect(r.Failures).To(Equal(map[string]int{"truncated": 100})) }),
		Entry("parts of responses without a length", func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{\"target\":\"t1\",\"key\":")
			standin.Reset(c.(*net.TCPConn))
		}, func(r *loadgen.Report) { Expect(r.Successes).To(BeZero()) }),
		Entry("lost connections", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, func(r *loadgen.Report) { Expect(r.Failures).To(Equal(map[string]int{"connection": 100})) }),
	)

	It("sends a POST whose connection is lost only once (I8)", func() {
		var mu sync.Mutex
		seen := map[string]int{}
		o := options(serve(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			seen[r.Header.Get("Idempotency-Key")]++
			drop := len(seen)%2 == 0
			mu.Unlock()
			if drop {
				panic(http.ErrAbortHandler)
			}
			respond(w, r)
		}))
		o.PostShare = 1
		_, err := loadgen.Run(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		mu.Lock()
		defer mu.Unlock()
		Expect(seen).To(HaveLen(100))
		for key, count := range seen {
			Expect(count).To(Equal(1), key)
		}
	})

	It("counts a stall for all requests that it delays (coordinated omission)", func() {
		const stall = 300 * time.Millisecond
		var requests atomic.Int32
		o := options(serve(func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) == 1 {
				time.Sleep(stall)
			}
			respond(w, r)
		}))
		// With one worker, the 100 requests of the first 50 ms wait for the stalled one.
		o.Workers = 1
		report, err := loadgen.Run(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Latencies[0].Name).To(Equal("answers"))
		Expect(report.Latencies[0].P50).To(BeNumerically(">=", 200))
	})

	It("sends the same keys and methods for the same seed, and some keys more often with a skewed distribution", func() {
		countRequests := func(skew float64) map[string]int {
			var mu sync.Mutex
			sent := map[string]int{}
			o := options(serve(func(w http.ResponseWriter, r *http.Request) {
				// A POST has its Idempotency-Key appended to the key.
				key := strings.TrimSuffix(r.Header.Get("Almondrock-Key"), "-"+r.Header.Get("Idempotency-Key"))
				mu.Lock()
				sent[r.Method+key]++
				mu.Unlock()
				respond(w, r)
			}))
			o.KeySkew = skew
			_, err := loadgen.Run(ctx, o)
			Expect(err).NotTo(HaveOccurred())
			mu.Lock()
			defer mu.Unlock()
			return sent
		}
		Expect(countRequests(0)).To(Equal(countRequests(0)))
		skewed := countRequests(2)
		Expect(skewed["GETload-0"] + skewed["POSTload-0"]).To(BeNumerically(">", 40))
	})

	It("stops when ctx is done", func() {
		cancelable, cancel := context.WithCancel(ctx)
		o := options(serve(func(w http.ResponseWriter, r *http.Request) {
			cancel()
			respond(w, r)
		}))
		report, err := loadgen.Run(cancelable, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Requests).To(BeNumerically("<", 100))
	})

	DescribeTable("refuses invalid options before it sends anything",
		func(option string, change func(*loadgen.Options)) {
			o := options("http://127.0.0.1:1/x")
			change(&o)
			_, err := loadgen.Run(ctx, o)
			var invalid *loadgen.OptionError
			Expect(errors.As(err, &invalid)).To(BeTrue())
			Expect(invalid.Option).To(Equal(option))
		},
		Entry("address of another machine", "url", func(o *loadgen.Options) { o.URL = "http://192.0.2.1/x" }),
		Entry("host name", "url", func(o *loadgen.Options) { o.URL = "http://localhost/x" }),
		Entry("other scheme", "url", func(o *loadgen.Options) { o.URL = "https://127.0.0.1/x" }),
		Entry("rate", "rate", func(o *loadgen.Options) { o.Rate = 0 }),
		Entry("duration", "duration", func(o *loadgen.Options) { o.Duration = time.Hour }),
		Entry("count", "count", func(o *loadgen.Options) { o.Count = -1 }),
		Entry("workers", "workers", func(o *loadgen.Options) { o.Workers = 1e6 }),
		Entry("keys", "keys", func(o *loadgen.Options) { o.Keys = 0 }),
		Entry("key skew", "key-skew", func(o *loadgen.Options) { o.KeySkew = 0.5 }),
		Entry("POST share", "post-share", func(o *loadgen.Options) { o.PostShare = 2 }),
		Entry("deadline", "deadline", func(o *loadgen.Options) { o.Deadline = -1 }),
	)
})

var _ = Describe("Command", func() {
	run := func(url string) (table string, files map[string][]byte, err error) {
		dir := GinkgoT().TempDir()
		var out bytes.Buffer
		command := loadgen.Command()
		command.SetOut(&out)
		command.SetErr(io.Discard)
		command.SetArgs([]string{
			url, "--rate=2000", "--count=50", "--json", filepath.Join(dir, "json"), "--svg", filepath.Join(dir, "svg"),
		})
		err = command.ExecuteContext(context.Background())
		files = map[string][]byte{}
		for _, name := range []string{"json", "svg"} {
			files[name], _ = os.ReadFile(filepath.Join(dir, name))
		}
		return out.String(), files, err
	}

	It("writes a table, JSON and a well-formed plot", func() {
		table, files, err := run(serve(respond))
		Expect(err).NotTo(HaveOccurred())
		Expect(table).To(And(ContainSubstring("status 200"), ContainSubstring("p99.9")))
		var report loadgen.Report
		Expect(json.Unmarshal(files["json"], &report)).To(Succeed())
		Expect(report.Successes).To(Equal(50))
		var plot struct {
			Lines []struct {
				Points string `xml:"points,attr"`
			} `xml:"polyline"`
		}
		Expect(xml.Unmarshal(files["svg"], &plot)).To(Succeed())
		Expect(plot.Lines).To(HaveLen(len(report.Latencies)))
		Expect(fmt.Sprint(plot.Lines)).NotTo(Or(ContainSubstring("NaN"), ContainSubstring("Inf")))
	})

	It("fails after writing the report if responses belonged to other requests (I6)", func() {
		_, files, err := run(serve(func(w http.ResponseWriter, r *http.Request) { echo(w, r, "another", 1) }))
		var invariantError *loadgen.InvariantError
		Expect(errors.As(err, &invariantError)).To(BeTrue())
		Expect(invariantError.MismatchedResponses).To(Equal(50))
		Expect(files["json"]).NotTo(BeEmpty())
	})
})
