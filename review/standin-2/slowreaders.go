package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowReaders is the number of clients that read slowly, and slowRate how fast each reads, in bytes per second.
	slowReaders = 600
	slowRate    = 32 << 10
	// slowStart is the time over which they start, and slowDeadline how long each waits, which is enough for the whole answer.
	slowStart    = 4 * time.Second
	slowDeadline = 30 * time.Second
	// segment and window make loopback connections like those of the platform, which have small windows.
	segment, window = 1448, 8 << 10
	// mostLost is how often a machine may close a kept connection without an answer to a request that it has passed on (RULES.md, LOST).
	mostLost = 3
)

const slowConfiguration = `{"version":"r1","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"listeners":[{"host":"lookups.example","rules":[{"name":"lookups","kind":"safe","targetLatencyMs":400,"priority":2,"match":{"pathPrefix":"/lookups/"},` +
	`"action":{"service":"workshop-desk","timeoutMs":800,"maxAttempts":2,"allowedRegions":[]}},` +
	`{"name":"manuals","kind":"download","targetLatencyMs":400,"priority":2,"match":{"pathPrefix":"` + manualPrefix + `"},` +
	`"action":{"service":"workshop-desk","timeoutMs":30000,"maxAttempts":2,"allowedRegions":[]}}]}],` +
	`"clusters":[{"name":"workshop-desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":7.1}]}`

// memoryWatch stands for the platform, which kills a process that uses more than its memory.
type memoryWatch struct {
	d *deployment
	r *record

	mu     sync.Mutex
	most   map[string]int64
	killed []string
}

// anonymousMemory returns the memory of a process without the pages of its files, in bytes.
func anonymousMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// run measures all processes until ctx ends.
func (w *memoryWatch) run(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		report := time.Since(last) >= time.Second
		if report {
			last = time.Now()
		}
		for _, m := range w.d.machines() {
			used := anonymousMemory(m.cmd.Process.Pid)
			if report && used > 0 {
				w.r.write("memory", "machine", m.name, "mib", used>>20)
			}
			w.mu.Lock()
			w.most[m.name] = max(w.most[m.name], used)
			if used > m.memoryMb()<<20 {
				_ = m.cmd.Process.Kill()
				<-m.exited
				w.killed = append(w.killed, m.name)
				w.r.write("killed", "machine", m.name, "mib", used>>20, "memoryMb", m.memoryMb())
				fmt.Printf("%s used %d MiB at %s and was killed; memoryMb %d\n", m.name, used>>20, stamp(time.Now()), m.memoryMb())
			}
			w.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// slowReader is one client that looks something up, keeps its connection and downloads a manual on it, of which it reads rate bytes a second, or
// as fast as it can if rate is 0.
type slowReader struct {
	d        *deployment
	r        *record
	id, from string
	rate     int
}

// download is what became of the last request for a manual.
type download struct {
	// id is that of the request, or empty if none was sent.
	id     string
	status int
	// answered is set once the first byte of an answer has come, and read is how much of its body has.
	answered bool
	read     int
	err      error
}

// run sends the requests, and again on a new connection after a refusal, until it has the whole answer, its connection breaks or its time is over.
func (c *slowReader) run(front *machine) download {
	deadline := time.Now().Add(slowDeadline)
	for try := 0; ; try++ {
		result, retryAfter := c.attempt(front, fmt.Sprintf("%s%02x", c.id, 2*try), fmt.Sprintf("%s%02x", c.id, 2*try+1), deadline)
		c.r.write("download", "id", result.id, "status", result.status, "answered", result.answered, "read", result.read, "err", result.err)
		if result.status != http.StatusServiceUnavailable && result.status != http.StatusTooManyRequests {
			return result
		}
		time.Sleep(min(max(retryAfter, 100*time.Millisecond), time.Until(deadline)/3))
		if time.Until(deadline) < time.Second {
			return result
		}
	}
}

func (c *slowReader) attempt(front *machine, lookup, manual string, deadline time.Time) (result download, retryAfter time.Duration) {
	var optionErr error
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}, Control: func(_, _ string, raw syscall.RawConn) error {
		return errors.Join(raw.Control(func(fd uintptr) {
			optionErr = errors.Join(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window))
		}), optionErr)
	}}
	conn, err := dialer.Dial("tcp", net.JoinHostPort(front.ip, strconv.Itoa(frontPort)))
	if err != nil {
		return download{err: err}, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(deadline)
	reader := bufio.NewReaderSize(conn, 4<<10)
	send := func(path, id string) error {
		c.r.write("sent", "id", id, "to", front.name, "path", path)
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: lookups.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, id, time.Until(deadline).Milliseconds())
		return err
	}
	if err := send("/lookups/"+c.id, lookup); err != nil {
		return download{err: err}, 0
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return download{err: err}, 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		return download{status: response.StatusCode, err: err}, retryTime(response)
	}
	result.id = manual
	if result.err = send(manualPrefix+"largest", manual); result.err != nil {
		return result, 0
	}
	if _, result.err = reader.Peek(1); result.err != nil {
		return result, 0
	}
	result.answered = true
	if response, result.err = http.ReadResponse(reader, nil); result.err != nil {
		return result, 0
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	piece := make([]byte, 4<<10)
	for began := time.Now(); ; {
		n, err := response.Body.Read(piece)
		result.read += n
		switch {
		case errors.Is(err, io.EOF):
			return result, retryTime(response)
		case err != nil:
			result.err = err
			return result, 0
		}
		if c.rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(result.read) / float64(c.rate) * float64(time.Second)))))
		}
	}
}

func retryTime(response *http.Response) time.Duration {
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// slowReading checks LOST while many clients of a zone download a large manual from its front machine. With trouble, they read slowly.
func slowReading(d *deployment, r *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := startServers(d, r, slowConfiguration, 4, 96*time.Millisecond)
	if err != nil {
		return false, err
	}
	c := newClients(d, r, "lookups.example", "/lookups/", 1500*time.Millisecond)
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	go c.run(clientsCtx, 40)
	w := &memoryWatch{d: d, r: r, most: map[string]int64{}}
	go w.run(ctx)
	time.Sleep(contactTime + 2*time.Second)
	if c.served.Load() < 50 {
		return false, fmt.Errorf("only %d requests served", c.served.Load())
	}
	rate := 0
	if trouble {
		rate = slowRate
	}
	front := d.fronts[0]
	results := make([]download, slowReaders)
	var readers sync.WaitGroup
	for i := range slowReaders {
		reader := &slowReader{d: d, r: r, id: fmt.Sprintf("5%07x%06x", i, rand.IntN(1<<24)), from: d.address(100 + i%100), rate: rate}
		readers.Go(func() {
			time.Sleep(time.Duration(i) * slowStart / slowReaders)
			results[i] = reader.run(front)
		})
	}
	readers.Wait()
	time.Sleep(time.Second)
	stopClients()
	c.tasks.Wait()
	ran := map[string]bool{}
	for _, s := range servers {
		s.mu.Lock()
		for id := range s.ran {
			ran[id] = true
		}
		s.mu.Unlock()
	}
	whole, refused, short, lost, other := 0, 0, 0, 0, 0
	for _, result := range results {
		switch {
		case result.err == nil && result.status == http.StatusOK:
			whole++
		case result.err == nil:
			refused++
		case result.answered:
			short++
		case ran[result.id]:
			lost++
			r.write("lost", "id", result.id, "err", result.err)
		default:
			other++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range d.machines() {
		r.write("most-memory", "machine", m.name, "mib", w.most[m.name]>>20, "memoryMb", m.memoryMb())
	}
	r.write("others", "sent", c.counter.Load(), "served", c.served.Load(), "refused", c.refused.Load(), "failed", c.failed.Load())
	r.write("downloads", "whole", whole, "refused", refused, "cutShort", short, "lost", lost, "other", other)
	fmt.Printf("%s used %d MiB at most, memoryMb %d; of %d downloads %d were whole, %d refused, %d cut short, %d run and lost without an answer, %d broken off before\n",
		front.name, w.most[front.name]>>20, front.memoryMb(), slowReaders, whole, refused, short, lost, other)
	fmt.Printf("others: %d sent, %d served, %d refused, %d failed\n", c.counter.Load(), c.served.Load(), c.refused.Load(), c.failed.Load())
	if len(w.killed) == 0 && whole+short+lost < slowReaders/2 {
		return false, fmt.Errorf("only %d of %d downloads began", whole+short+lost, slowReaders)
	}
	return len(w.killed) > 0 && lost > mostLost, nil
}
