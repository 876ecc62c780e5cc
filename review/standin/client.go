package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id, path, entry, result string
	key                     int
	sent                    time.Time
	took                    time.Duration
	status                  int
}

// clients sends requests of one path at a rate to each entry host until the run ends. Each entry host has connections of its own.
func (r *run) clients(path string, perSecond float64) {
	for _, entry := range r.entries {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 3 * time.Second}
		r.tasks.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond * float64(len(r.entries))))
			defer ticker.Stop()
			for {
				select {
				case <-r.closed:
					return
				case <-ticker.C:
					go r.request(client, entry, path)
				}
			}
		})
	}
}

// request sends one request and records the answer.
func (r *run) request(client *http.Client, entry *host, path string) answer {
	const deadline = 2000
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, entry: entry.name, key: rand.IntN(keyCount), sent: time.Now()}
	method := http.MethodGet
	if strings.HasPrefix(path, "/orders/") {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, "http://"+entry.front+path+"x", strings.NewReader(""))
	if err != nil {
		return a
	}
	request.Host = "desk.example"
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", strconv.Itoa(deadline))
	request.Header.Set("Accept-Encoding", "identity")
	request.Header.Set("Shard-Key", strconv.Itoa(a.key))
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		a.status = response.StatusCode
		a.result = strings.TrimSpace(fmt.Sprintf("%d %s", response.StatusCode, body))
	}
	if err != nil {
		a.result = "failed: " + err.Error()
	}
	a.took = time.Since(a.sent)
	r.mu.Lock()
	r.answers = append(r.answers, a)
	r.mu.Unlock()
	r.requests.Add(1)
	return a
}

// awaitService waits until requests of a path are served at all entry hosts.
func (r *run) awaitService(paths ...string) error {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(25 * time.Second)
	for served := 0; time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, path := range paths {
			for _, entry := range r.entries {
				all = all && r.request(client, entry, path).status == http.StatusOK
			}
		}
		if served++; !all {
			served = 0
		}
		if served >= 5 {
			return nil
		}
	}
	return fmt.Errorf("no service within 25 s")
}
