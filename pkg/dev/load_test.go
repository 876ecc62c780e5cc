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

// operation is one piece of work of a caller; its key is its own, so runs are told apart by key.
type operation struct {
	key, method, tenant, path, body string
	// keyed operations carry an Idempotency-Key and are sent again after a refusal or a lost answer.
	keyed bool
	// deadline is 4 s when 0.
	deadline time.Duration
	answers  []reply
}

// reply is the end of one send.
type reply struct {
	host   string
	status int
	// refusal is nil when the answer is a target's.
	refusal *apierr.Refusal
	answer  standin.ResponseBody
	err     error
}

func (r reply) served() bool { return r.err == nil && r.refusal == nil && r.status == http.StatusOK }

// history is what all callers have seen.
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
	// callers is the number of concurrent callers.
	callers = 8
	// maxSends bounds the sends of a keyed operation.
	maxSends = 60
	// resendPause is the pause of a caller after a refusal.
	resendPause = 100 * time.Millisecond
)

// load is callers that run until stopped.
type load struct {
	*history
	system *system
	client *http.Client
	cancel context.CancelFunc
	wait   sync.WaitGroup
	next   atomic.Int64
	// reverted may be read after stop.
	reverted []string
}

func (s *system) startLoad() *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{history: &history{}, system: s, cancel: cancel, client: newClient()}
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 1)) //nolint:gosec // a fixed seed
		l.wait.Go(func() {
			for ctx.Err() == nil {
				l.one(random)
			}
		})
	}
	l.wait.Go(func() { l.watchRevisions(ctx) })
	return l
}

// watchRevisions notes each host process whose revision goes back (I11).
func (l *load) watchRevisions(ctx context.Context) {
	highest := map[*host.Host]uint64{}
	for ctx.Err() == nil {
		for _, h := range l.system.live() {
			switch revision := revisionAt(h); {
			case revision >= highest[h]:
				highest[h] = revision
			case revision > 0:
				l.reverted = append(l.reverted, fmt.Sprintf("I11 %s went from revision %d to %d", h.Name(), highest[h], revision))
			}
		}
		time.Sleep(resendPause)
	}
}

func newClient() *http.Client {
	return &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
}

// stop lets each caller finish its operation.
func (l *load) stop() {
	l.cancel()
	l.wait.Wait()
	l.client.CloseIdleConnections()
}

var tenants = []string{"", "", "hanbok-seoul", "gown-busan"}

func (l *load) one(random *rand.Rand) {
	number := l.next.Add(1)
	o := &operation{
		key: fmt.Sprintf("op-%d", number), method: http.MethodGet, tenant: tenants[random.IntN(len(tenants))],
		path: fmt.Sprintf("/work/%d", number),
	}
	if random.IntN(2) == 0 {
		o.method, o.body = http.MethodPost, strings.Repeat(o.key+" ", 1+random.IntN(200))
		o.keyed = random.IntN(2) == 0
	}
	l.add(o)
	for range maxSends {
		r := send(l.client, l.system.randomCallerAddress(random), o)
		l.mu.Lock()
		o.answers = append(o.answers, r)
		l.mu.Unlock()
		if r.served() {
			l.served.Add(1)
			return
		}
		// A caller backs off after a refusal.
		time.Sleep(resendPause)
		if !o.keyed || (r.refusal != nil && (r.refusal.Code == apierr.OutcomeUnknown || r.refusal.Code == apierr.ResponseNotStored)) {
			return
		}
	}
}

func send(client *http.Client, address string, o *operation) reply {
	request, err := http.NewRequest(o.method, "http://"+address+"/desk"+o.path, bytes.NewReader([]byte(o.body)))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Almondrock-Key", o.key)
	request.Header.Set("Almondrock-Deadline-Ms", strconv.FormatInt(cmp.Or(o.deadline, 4*time.Second).Milliseconds(), 10))
	if o.tenant != "" {
		request.Header.Set("Almondrock-Tenant", o.tenant)
	}
	if o.keyed {
		request.Header.Set("Idempotency-Key", o.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{host: address, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{host: address, err: err}
	}
	if refusal, ok := apierr.Parse(data); ok {
		return reply{host: address, status: response.StatusCode, refusal: refusal}
	}
	r := reply{host: address, status: response.StatusCode}
	r.err = json.Unmarshal(data, &r.answer)
	return r
}
