package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// keyCount is the number of keys of a sharded service.
const keyCount = 1 << 16

// event is what a back end tells about itself, as a line of JSON on its standard output.
type event struct {
	At     time.Time `json:"at"`
	Server string    `json:"server"`
	PID    int       `json:"pid"`
	// Kind is start, beat, acked, leave, left, grant, release, run, done or refused.
	Kind    string `json:"kind"`
	Request string `json:"request,omitempty"`
	Key     int    `json:"key,omitempty"`
	From    int    `json:"from,omitempty"`
	To      int    `json:"to,omitempty"`
	Fence   uint64 `json:"fence,omitempty"`
	HoldMs  int64  `json:"holdMs,omitempty"`
	Text    string `json:"text,omitempty"`
}

// backend is a back end as PROTOCOL.md describes it.
type backend struct {
	id, service, address, zone string
	slots                      int
	heartbeat, work, cold      time.Duration
	control                    []string
	sharded                    bool
	born                       int64
	started                    time.Time
	slotFree                   chan struct{}

	mu sync.Mutex
	// fences has the highest fence seen for each key, and until the end of the lease.
	fences [keyCount]uint64
	until  [keyCount]time.Time
	// working counts the requests in progress by key.
	working  map[int]int
	waiting  int
	sequence int
	leaving  bool
	output   *json.Encoder
}

func serverMain(arguments []string) error {
	b := &backend{working: map[int]int{}, started: time.Now(), output: json.NewEncoder(os.Stdout)}
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	flags.StringVar(&b.id, "id", "", "")
	flags.StringVar(&b.service, "service", "", "")
	flags.StringVar(&b.address, "address", "", "")
	flags.StringVar(&b.zone, "zone", "", "")
	flags.IntVar(&b.slots, "slots", 3, "")
	flags.DurationVar(&b.heartbeat, "heartbeat", 1500*time.Millisecond, "")
	flags.DurationVar(&b.work, "work", 100*time.Millisecond, "")
	flags.DurationVar(&b.cold, "cold", 0, "")
	flags.BoolVar(&b.sharded, "sharded", false, "")
	clock := flags.Duration("clock", 0, "how far the time of day of the machine is ahead")
	mode := flags.String("leave", "drain", "drain: says that it drains first; delete: sends DELETE first")
	stay := flags.Duration("stay", 4*time.Second, "how long it serves after the acknowledgement that it leaves")
	control := flags.String("control", "", "")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	b.control = strings.Split(*control, ",")
	b.born = b.started.Add(*clock).UnixMilli()
	b.slotFree = make(chan struct{}, b.slots)
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.emit(event{Kind: "start", Text: fmt.Sprintf("born %d, cold for %v", b.born, b.cold)})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/grant", b.grant)
	mux.HandleFunc("POST /api/release", b.release)
	mux.HandleFunc("GET /health", b.health)
	mux.HandleFunc("/", b.serve)
	server := &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	var beats sync.WaitGroup
	beats.Go(func() {
		ticker := time.NewTicker(b.heartbeat)
		defer ticker.Stop()
		for ctx.Err() == nil {
			b.beat(ctx, "ready")
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	})
	<-stop
	cancel()
	beats.Wait()
	b.leave(*mode, *stay)
	return nil
}

// emit writes an event. An event without a server gets that of this back end.
func (b *backend) emit(e event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.emitLocked(e)
}

func (b *backend) emitLocked(e event) {
	e.At, e.Server, e.PID = time.Now(), b.id, os.Getpid()
	_ = b.output.Encode(e)
}

// beat sends a heartbeat to one node after the other until one acknowledges it within a second.
func (b *backend) beat(ctx context.Context, state string) bool {
	coldLeft := max(0, b.cold-time.Since(b.started))
	b.mu.Lock()
	nodes := append([]string(nil), b.control...)
	b.mu.Unlock()
	for _, node := range nodes {
		if ctx.Err() != nil {
			return false
		}
		b.mu.Lock()
		b.sequence++
		sequence := b.sequence
		b.mu.Unlock()
		body := map[string]any{
			"address": b.address, "born": b.born,
			"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
			"status": map[string]any{"state": state, "sequence": sequence, "coldLeftMs": coldLeft.Milliseconds()},
		}
		b.emit(event{Kind: "beat", Text: fmt.Sprintf("%s, sequence %d, to %s", state, sequence, node)})
		next, err := b.call(ctx, http.MethodPut, node, body)
		if err == nil {
			b.emit(event{Kind: "acked", Text: fmt.Sprintf("%s, sequence %d, by %s", state, sequence, node)})
			if next != "" {
				b.mu.Lock()
				b.control = append([]string{next}, without(b.control, next)...)
				b.mu.Unlock()
			}
			return true
		}
	}
	return false
}

func without(list []string, value string) []string {
	var kept []string
	for _, v := range list {
		if v != value {
			kept = append(kept, v)
		}
	}
	return kept
}

// call calls a control node about this back end and returns the address for later heartbeats.
func (b *backend) call(ctx context.Context, method, node string, body any) (next string, err error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return "", err
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+"/api/instances/"+b.id, reader)
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d", response.StatusCode)
	}
	answer := struct {
		Next string `json:"beatAddr"`
	}{}
	_ = json.NewDecoder(io.LimitReader(response.Body, 4<<10)).Decode(&answer)
	return answer.Next, nil
}

// leave is a planned stop.
func (b *backend) leave(mode string, stay time.Duration) {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	remove := func() bool {
		for _, node := range b.control {
			b.emit(event{Kind: "leave", Text: "DELETE to " + node})
			if _, err := b.call(context.Background(), http.MethodDelete, node, nil); err == nil {
				b.emit(event{Kind: "left", Text: "acknowledged by " + node})
				return true
			}
		}
		return false
	}
	if mode == "drain" {
		for range 5 {
			if b.beat(context.Background(), "draining") {
				break
			}
		}
		time.Sleep(stay)
		remove()
		return
	}
	for range 5 {
		if remove() {
			break
		}
	}
	time.Sleep(stay)
}

// serve runs a request of a client.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", b.id)
	refuse := func(status int, why string) {
		w.Header().Set("Not-Executed", "1")
		b.emit(event{Kind: "refused", Request: id, Text: fmt.Sprintf("%d %s", status, why)})
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		refuse(http.StatusMisdirectedRequest, "another instance")
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest, "no id")
		return
	}
	deadline := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	expired := time.After(deadline)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	if b.waiting >= b.slots+12 {
		b.mu.Unlock()
		refuse(http.StatusServiceUnavailable, "full")
		return
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.slotFree <- struct{}{}:
	case <-expired:
		refuse(http.StatusServiceUnavailable, "deadline in the queue")
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slotFree }()
	key := -1
	if b.sharded {
		key, err = strconv.Atoi(r.Header.Get("Shard-Key"))
		if err != nil || key < 0 || key >= keyCount {
			refuse(http.StatusBadRequest, "no key")
			return
		}
	}
	b.mu.Lock()
	if b.sharded && !time.Now().Before(b.until[key]) {
		b.mu.Unlock()
		refuse(http.StatusMisdirectedRequest, "key not held")
		return
	}
	b.working[key]++
	b.emitLocked(event{Kind: "run", Request: id, Key: key})
	b.mu.Unlock()
	result := "200"
	work := b.work
	if time.Since(b.started) < b.cold {
		work *= 2
	}
	select {
	case <-time.After(time.Duration(float64(work) * (0.5 + rand.Float64()))):
	case <-expired:
		result = "504"
	case <-r.Context().Done():
		result = "dropped"
	}
	b.mu.Lock()
	b.working[key]--
	if b.sharded && result == "200" && !time.Now().Before(b.until[key]) {
		result = "500"
	}
	load := fmt.Sprintf("%d,%d,%d,100", min(b.waiting, b.slots), max(0, b.waiting-b.slots), b.slots)
	leaving := b.leaving
	b.emitLocked(event{Kind: "done", Request: id, Key: key, Text: result})
	b.mu.Unlock()
	if result == "dropped" {
		return
	}
	status, _ := strconv.Atoi(result)
	w.Header().Set("Response-Signature", id+"."+b.id)
	w.Header().Set("Server-Load", load)
	w.Header().Set("Keep-Alive", "timeout=10")
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s %s %s %d\n", r.Method, r.URL.Path, id, len(body))
}

func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	w.Header().Set("Instance-Id", b.id)
	w.Header().Set("Cold-Ms", strconv.FormatInt(max(0, b.cold-time.Since(b.started)).Milliseconds(), 10))
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	From   int    `json:"from"`
	To     int    `json:"to"`
	Fence  uint64 `json:"fence"`
	HoldMs int64  `json:"holdMs"`
}

// decodeKeyCall decodes a call about keys. It answers by itself and returns false if another instance is meant or the call is invalid.
func (b *backend) decodeKeyCall(w http.ResponseWriter, r *http.Request) (keyCall, bool) {
	call := keyCall{}
	w.Header().Set("Instance-Id", b.id)
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return call, false
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.From < 0 || call.To >= keyCount || call.From > call.To {
		w.WriteHeader(http.StatusBadRequest)
		return call, false
	}
	return call, true
}

func (b *backend) grant(w http.ResponseWriter, r *http.Request) {
	call, ok := b.decodeKeyCall(w, r)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := call.From; key <= call.To; key++ {
		if b.fences[key] > call.Fence {
			b.emitLocked(event{Kind: "grant", From: call.From, To: call.To, Fence: call.Fence, Text: "409"})
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := time.Now().Add(time.Duration(call.HoldMs) * time.Millisecond)
	for key := call.From; key <= call.To; key++ {
		b.fences[key], b.until[key] = call.Fence, until
	}
	b.emitLocked(event{Kind: "grant", From: call.From, To: call.To, Fence: call.Fence, HoldMs: call.HoldMs, Text: "200"})
	w.WriteHeader(http.StatusOK)
}

func (b *backend) release(w http.ResponseWriter, r *http.Request) {
	call, ok := b.decodeKeyCall(w, r)
	if !ok {
		return
	}
	b.mu.Lock()
	for key := call.From; key <= call.To; key++ {
		if b.fences[key] <= call.Fence {
			b.fences[key], b.until[key] = call.Fence, time.Time{}
		}
	}
	b.emitLocked(event{Kind: "release", From: call.From, To: call.To, Fence: call.Fence})
	b.mu.Unlock()
	for {
		b.mu.Lock()
		busy := false
		for key, count := range b.working {
			busy = busy || (count > 0 && key >= call.From && key <= call.To)
		}
		b.mu.Unlock()
		if !busy {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	w.Header().Set("Handover", strconv.FormatUint(rand.Uint64(), 16))
	w.WriteHeader(http.StatusOK)
}
