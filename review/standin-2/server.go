package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// manualPrefix begins the paths of manuals. largestManual is the size of the largest one in bytes, as in sites/dmau-gateway.toml.
const (
	manualPrefix  = "/manuals/"
	largestManual = 540_000
)

// server is a stand-in for one server of a service.
type server struct {
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration
	// controls are the addresses of the core machines, and paths what the server connects to instead: one proxy for each.
	controls []string
	paths    map[string]*delayProxy
	record   *record

	mu        sync.Mutex
	born      int64
	sequence  int
	state     string
	coldUntil time.Time
	running   int
	waiting   int
	slotFree  *sync.Cond
	arrivals  []arrival
	// ran has the IDs of the requests at which the server has begun to work.
	ran map[string]bool
	// beatAddress is the core machine of the next heartbeat.
	beatAddress string
	beating     bool
	// coldAcknowledged is when a heartbeat that said that the server is cold was first acknowledged.
	coldAcknowledged time.Time
	beatNow          chan struct{}
	stopped          chan struct{}
	http             *http.Server
}

// arrival is a request that reached a server, other than one that it answered with 421.
type arrival struct {
	id string
	at time.Time
}

func newServer(id, service, zone, address string, slots int, work time.Duration, controls []string, paths map[string]*delayProxy, r *record) *server {
	s := &server{
		id: id, service: service, zone: zone, address: address, slots: slots, queue: 12, work: work, controls: controls, paths: paths, record: r,
		state: "ready", beatAddress: controls[rand.IntN(len(controls))], beatNow: make(chan struct{}, 1),
		ran: map[string]bool{},
	}
	s.slotFree = sync.NewCond(&s.mu)
	return s
}

// start listens and begins to send heartbeats.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.born, s.sequence, s.stopped = time.Now().UnixMilli(), 0, make(chan struct{})
	s.mu.Unlock()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	go s.beat(s.stopped)
	return nil
}

// crash ends the server at once: its connections are reset or closed, and it says nothing to anyone.
func (s *server) crash() {
	close(s.stopped)
	s.http.Close()
}

func (s *server) coldLeft(now time.Time) time.Duration { return max(0, s.coldUntil.Sub(now)) }

// becomeCold makes the server cold, which it says in a heartbeat at once.
func (s *server) becomeCold(d time.Duration) time.Time {
	s.mu.Lock()
	now := time.Now()
	s.coldUntil, s.coldAcknowledged = now.Add(d), time.Time{}
	s.mu.Unlock()
	select {
	case s.beatNow <- struct{}{}:
	default:
	}
	return now
}

// beat sends heartbeats until the server ends.
func (s *server) beat(stopped chan struct{}) {
	for {
		s.sendHeartbeat(stopped)
		select {
		case <-time.After(heartbeat):
		case <-s.beatNow:
		case <-stopped:
			return
		}
	}
}

// sendHeartbeat calls one core machine after the other, each for a second, until one has acknowledged a heartbeat.
func (s *server) sendHeartbeat(stopped chan struct{}) {
	for try := 0; ; try++ {
		select {
		case <-stopped:
			return
		default:
		}
		select {
		case <-s.beatNow:
			// This heartbeat says it.
		default:
		}
		s.mu.Lock()
		s.sequence++
		now := time.Now()
		cold := s.coldLeft(now).Milliseconds()
		to, sequence, born := s.beatAddress, s.sequence, s.born
		body, _ := json.Marshal(map[string]any{
			"address": s.address, "born": s.born,
			"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
			"status": map[string]any{"state": s.state, "sequence": s.sequence, "coldLeftMs": cold},
		})
		s.mu.Unlock()
		next, err := s.callControl(to, body)
		s.record.write("heartbeat", "server", s.id, "born", born, "sequence", sequence, "coldLeftMs", cold, "to", to, "sent", stamp(now), "result", resultOf(err))
		s.mu.Lock()
		if err == nil && cold > 0 && s.coldAcknowledged.IsZero() && s.coldUntil.After(now) {
			s.coldAcknowledged = time.Now()
		}
		if err == nil {
			if next != "" {
				s.beatAddress = next
			}
			s.mu.Unlock()
			return
		}
		for i, c := range s.controls {
			if c == to {
				s.beatAddress = s.controls[(i+1)%len(s.controls)]
			}
		}
		s.mu.Unlock()
		if try >= len(s.controls) {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func resultOf(err error) string {
	if err != nil {
		return err.Error()
	}
	return "acknowledged"
}

// callControl sends one heartbeat to a core machine over a new connection.
func (s *server) callControl(to string, body []byte) (next string, err error) {
	path := to
	if p := s.paths[to]; p != nil {
		path = p.listener.Addr().String()
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPut, "http://"+path+"/api/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Host = to
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	if err != nil {
		return "", err
	}
	if response.StatusCode/100 != 2 {
		return "", fmt.Errorf("%s %s", response.Status, bytes.TrimSpace(answer))
	}
	named := struct {
		BeatAddr string `json:"beatAddr"`
	}{}
	_ = json.Unmarshal(answer, &named)
	return named.BeatAddr, nil
}

// holdUpNext holds up the next heartbeat on its way to the core machine that is its turn.
func (s *server) holdUpNext(delay time.Duration) {
	s.mu.Lock()
	to := s.beatAddress
	s.mu.Unlock()
	if p := s.paths[to]; p != nil {
		select {
		case p.delay <- delay:
		default:
		}
	}
}

// cutOff silently cuts the server off from all core machines, or ends that.
func (s *server) cutOff(cut bool) {
	for _, p := range s.paths {
		p.cut.Store(cut)
	}
}

// serve runs one request as PROTOCOL.md says.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	header := w.Header()
	header.Set("Keep-Alive", "timeout=10")
	refuse := func(status int) {
		header.Set("Not-Executed", "1")
		header.Set("Request-Id", id)
		s.loadHeader(header)
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", s.id)
		s.loadHeader(header)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadline := time.Now().Add(10 * time.Second)
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	for s.running >= s.slots {
		s.slotFree.Wait()
	}
	s.waiting--
	if time.Now().After(deadline) || r.Context().Err() != nil {
		s.mu.Unlock()
		s.slotFree.Signal()
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.ran[id] = true
	s.mu.Unlock()
	s.record.write("run", "id", id, "server", s.id)
	work := time.Duration((0.4 + 1.2*rand.Float64()) * float64(s.work))
	timer := time.NewTimer(work)
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	timer.Stop()
	s.loadHeader(header)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.slotFree.Signal()
	header.Set("Request-Id", id)
	header.Set("Response-Signature", fmt.Sprintf("%s.%s.%d", s.id, id, len(body)))
	if strings.HasPrefix(r.URL.Path, manualPrefix) {
		header.Set("Content-Length", strconv.Itoa(largestManual))
		_, _ = w.Write(bytes.Repeat([]byte("manual "), largestManual/7+1)[:largestManual])
		return
	}
	_, _ = io.WriteString(w, "ran by "+s.id+"\n")
}

func (s *server) loadHeader(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots))
}
