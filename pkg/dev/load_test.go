package dev

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/host"
	"almondrock.example/almondrock/pkg/standin"
)

// operation is one request of a caller, with its retries. Its key is unique, so that executions can be matched by key.
type operation struct {
	key, method, tenant, path, body string
	// retryable operations have an Idempotency-Key and are retried after a refusal or a lost response.
	retryable bool
	// deadline is 4 s when 0.
	deadline time.Duration
	// results has one element per send.
	results []sendResult
}

// sendResult is the result of sending an operation once.
type sendResult struct {
	// host is the address of the host that the request was sent to.
	host   string
	status int
	// refusal is nil if the response comes from a target.
	refusal        *apierr.Refusal
	targetResponse standin.ResponseBody
	err            error
}

func (r sendResult) served() bool {
	return r.err == nil && r.refusal == nil && r.status == http.StatusOK
}

// history contains the operations of all callers with their results.
type history struct {
	mu         sync.Mutex
	operations []*operation
	served     atomic.Int64
}

func (h *history) add(o *operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

const (
	// callerCount is the number of concurrent callers.
	callerCount = 8
	// maxSends limits how often a retryable operation is sent.
	maxSends = 60
	// retryPause is how long a caller waits after a refusal or a lost response.
	retryPause = 100 * time.Millisecond
)

// load is a set of concurrent callers that send requests until they are stopped.
type load struct {
	*history
	system         *system
	client         *http.Client
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	operationCount atomic.Int64
	// revisionViolations describes each decrease of a host's revision. It may be read only after stop.
	revisionViolations []string
}

func (s *system) startLoad() *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{history: &history{}, system: s, cancel: cancel, client: newClient()}
	for i := range callerCount {
		random := rand.New(rand.NewPCG(uint64(i), 1)) //nolint:gosec // a fixed seed
		l.goroutines.Go(func() {
			for ctx.Err() == nil {
				l.sendOperation(random)
			}
		})
	}
	l.goroutines.Go(func() { l.watchRevisions(ctx) })
	return l
}

// watchRevisions records each decrease of the revision in force at a host process (a violation of I11).
func (l *load) watchRevisions(ctx context.Context) {
	highest := map[*host.Host]uint64{}
	for ctx.Err() == nil {
		for _, h := range l.system.liveHosts() {
			switch revision := revisionAt(h); {
			case revision >= highest[h]:
				highest[h] = revision
			case revision > 0:
				l.revisionViolations = append(l.revisionViolations, fmt.Sprintf("I11 %s went from revision %d to %d", h.Name(), highest[h], revision))
			}
		}
		time.Sleep(retryPause)
	}
}

func newClient() *http.Client {
	return &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}
}

// stop stops the callers and waits until each has finished its current operation.
func (l *load) stop() {
	l.cancel()
	l.goroutines.Wait()
	l.client.CloseIdleConnections()
}

var tenants = []string{"", "", "hanbok-seoul", "gown-busan"}

// sendOperation creates a random operation and sends it until it is served, or once if it is not retryable.
func (l *load) sendOperation(random *rand.Rand) {
	number := l.operationCount.Add(1)
	o := &operation{
		key: fmt.Sprintf("op-%d", number), method: http.MethodGet, tenant: tenants[random.IntN(len(tenants))],
		path: fmt.Sprintf("/work/%d", number),
	}
	if random.IntN(2) == 0 {
		o.method, o.body = http.MethodPost, strings.Repeat(o.key+" ", 1+random.IntN(200))
		o.retryable = random.IntN(2) == 0
	}
	l.add(o)
	for range maxSends {
		r := send(l.client, l.system.randomCallerAddress(random), o)
		l.mu.Lock()
		o.results = append(o.results, r)
		l.mu.Unlock()
		if r.served() {
			l.served.Add(1)
			return
		}
		// A caller backs off after a refusal.
		time.Sleep(retryPause)
		if !o.retryable || (r.refusal != nil && (r.refusal.Code == apierr.OutcomeUnknown || r.refusal.Code == apierr.ResponseNotStored)) {
			return
		}
	}
}

func send(client *http.Client, address string, o *operation) sendResult {
	request, err := http.NewRequest(o.method, "http://"+address+"/desk"+o.path, bytes.NewReader([]byte(o.body)))
	if err != nil {
		return sendResult{err: err}
	}
	request.Header.Set("Almondrock-Key", o.key)
	request.Header.Set("Almondrock-Deadline-Ms", strconv.FormatInt(cmp.Or(o.deadline, 4*time.Second).Milliseconds(), 10))
	if o.tenant != "" {
		request.Header.Set("Almondrock-Tenant", o.tenant)
	}
	if o.retryable {
		request.Header.Set("Idempotency-Key", o.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return sendResult{host: address, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return sendResult{host: address, err: err}
	}
	if refusal, ok := apierr.Parse(data); ok {
		return sendResult{host: address, status: response.StatusCode, refusal: refusal}
	}
	r := sendResult{host: address, status: response.StatusCode}
	r.err = json.Unmarshal(data, &r.targetResponse)
	return r
}
