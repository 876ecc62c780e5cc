package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the small deployment, from the sheet of dmau-gateway in SYSTEM.md.
const (
	contactTime  = 3 * time.Second
	evacuateTime = 5 * time.Second
	maxSkew      = 5 * time.Second
	heartbeat    = 1500 * time.Millisecond
)

// zones has the zones in the order of the hosts, and regions their regions.
var (
	zones   = []string{"dobrich-north", "ruse-east", "dobrich-south", "ruse-west"}
	regions = []string{"dobrich", "ruse", "dobrich", "ruse"}
)

// run is one run of a case.
type run struct {
	folder, temporary string
	// trouble is false for a run without the disruption.
	trouble    bool
	record     *bufio.Writer
	recordFile *os.File
	began      time.Time
	commands   map[string][]string

	mu         sync.Mutex
	processes  []*process
	events     []event
	answers    []answer
	registries []*host
	entries    []*host
	servers    map[string]*server
	version    int
	closed     chan struct{}
	closing    sync.Once
	tasks      sync.WaitGroup
	requests   atomic.Int64
}

// process is a process that the run has started.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// host is a machine of the system with its process.
type host struct {
	*process
	name, ip, zone, region, role, settings string
	front, control                         string
	proxy                                  *peerProxy
	dataDir                                string
}

// newRun reads the commands of the deploy file and opens the record.
func newRun(name, folder string) (*run, error) {
	r := &run{
		folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), commands: map[string][]string{}, servers: map[string]*server{},
		closed: make(chan struct{}),
	}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, match := range regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s*run = "([^"]+)"`).FindAllStringSubmatch(string(deploy), -1) {
		r.commands[match[1]] = strings.Fields(match[2])
	}
	if r.commands["entry"] == nil || r.commands["registry"] == nil {
		return nil, errors.New("deploy/system.toml has no commands for entry and registry")
	}
	if r.temporary, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if r.recordFile, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	r.record = bufio.NewWriter(r.recordFile)
	r.note("case %s, disruption %v", name, r.trouble)
	return r, nil
}

// note writes a line into the record, with the time since the start of the run.
func (r *run) note(format string, arguments ...any) { r.noteAt(time.Now(), format, arguments...) }

func (r *run) noteAt(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.record.WriteString(line)
	if !strings.HasPrefix(format, "server ") && !strings.HasPrefix(format, "client ") {
		fmt.Print(line)
	}
}

// seconds is a time as it stands in the record.
func (r *run) seconds(at time.Time) string { return fmt.Sprintf("%.3f s", at.Sub(r.began).Seconds()) }

// close ends all processes and the record.
func (r *run) close() {
	r.closing.Do(r.end)
}

func (r *run) end() {
	close(r.closed)
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range processes {
		<-p.ended
	}
	r.tasks.Wait()
	_ = r.record.Flush()
	r.recordFile.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.temporary)
	} else {
		fmt.Println("kept", r.temporary)
	}
}

// start starts a process.
func (r *run) start(command *exec.Cmd) (*process, error) {
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command: command, ended: make(chan struct{})}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// freePorts returns ports that are free on the loopback addresses of all machines.
func freePorts(count int, ips []string) ([]int, error) {
	var ports []int
	for range 200 {
		port := 20000 + rand.IntN(12000)
		free := true
		for _, ip := range append([]string{"127.0.0.1"}, ips...) {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			ports = append(ports, port)
		}
		if len(ports) == count {
			return ports, nil
		}
	}
	return nil, errors.New("no free ports")
}

// startHosts starts four registry hosts, of which the first three are the seeds, and one entry host in each zone.
func (r *run) startHosts() error {
	network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	var ips []string
	for i := range 2 * len(zones) {
		ips = append(ips, fmt.Sprintf("%s%d", network, 10+i))
	}
	ports, err := freePorts(5, ips)
	if err != nil {
		return err
	}
	front, ready, control, peer, behind := ports[0], ports[1], ports[2], ports[3], ports[4]
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ips[i], control)))
	}
	for i, ip := range ips {
		zone := i % len(zones)
		h := &host{ip: ip, zone: zones[zone], region: regions[zone], role: "registry"}
		listen := ""
		if i < len(zones) {
			h.name, h.control = "core-"+h.zone+"-1", fmt.Sprintf("%s:%d", ip, control)
			h.dataDir = filepath.Join(r.temporary, h.name)
			// The project's settings name the address behind a forwarder of the port between hosts.
			listen = fmt.Sprintf("  control: %q\n  peer: %q\n", h.control, fmt.Sprintf("%s:%d", ip, behind))
			if h.proxy, err = r.newPeerProxy(h, fmt.Sprintf("%s:%d", ip, peer), fmt.Sprintf("%s:%d", ip, behind)); err != nil {
				return err
			}
			r.registries = append(r.registries, h)
		} else {
			h.role, h.name, h.front = "entry", "front-"+h.zone+"-1", fmt.Sprintf("%s:%d", ip, front)
			listen = fmt.Sprintf("  front: %q\n  ready: %q\n", h.front, fmt.Sprintf("%s:%d", ip, ready))
			r.entries = append(r.entries, h)
		}
		settings := fmt.Sprintf("nodeName: %q\nrole: %q\nmachineClass: %q\nip: %q\nzone: %q\nregion: %q\nzones:\n", h.name, h.role, h.role, ip, h.zone, h.region)
		for j, z := range zones {
			settings += fmt.Sprintf("  %s: %q\n", z, regions[j])
		}
		settings += fmt.Sprintf("listen:\n%sinternalPorts:\n  - %d\n  - %d\nseeds: [%s]\nbootstrap: true\nfaultCounted: %v\n", listen, peer, peer,
			strings.Join(seeds, ", "), h.role == "registry")
		settings += fmt.Sprintf("limits:\n  cpuShare: 0.32\n  cpuCores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 256\ndataDir: %q\nheartbeatMs: %d\n",
			h.dataDir, heartbeat.Milliseconds())
		settings += "faultTolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n  seedLagS: 3\n  addrReuseS: 2\n  contactMs: 3000\n  ackMs: 4000\n" +
			"  catchUpS: 4\n  drainMs: 2000\n  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n  maxSkewMs: 5000\n" +
			"  retryBudgetRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 56\n  coldOvershoot: 1.5\n  coldSlack: 5\n  evacuateMs: 5000\n  recoveryS: 15\n" +
			"  maxHoldMs: 10000\n  thawSlackMs: 300\nconfigMode: \"highest\"\ngrants: \"rpc\"\n"
		h.settings = filepath.Join(r.temporary, h.name+".yaml")
		if err := os.WriteFile(h.settings, []byte(settings), 0o600); err != nil {
			return err
		}
		if err := r.startHost(h); err != nil {
			return err
		}
	}
	return nil
}

// startHost starts the process of a machine with the command of the deploy file.
func (r *run) startHost(h *host) error {
	words := r.commands[h.role]
	command := exec.Command(words[0], words[1:]...)
	command.Env = append(os.Environ(), "ALMONDROCK_BOOT="+h.settings)
	log, err := os.Create(filepath.Join(r.temporary, h.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command.Stdout, command.Stderr = log, log
	h.process, err = r.start(command)
	return err
}

// submit sends a configuration until a node acknowledges it. desk is a plain service, library is divided by key.
func (r *run) submit() error {
	r.version++
	rule := func(name, kind, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"kind":%q,"targetLatencyMs":500,"priority":1,"match":{"pathPrefix":%q},"action":{"service":%q,"timeoutMs":2000,"maxAttempts":2,"allowedRegions":[]}}`,
			name, kind, prefix, service)
	}
	cluster := `{"name":%q,"healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":7.1%s}`
	body := fmt.Sprintf(`{"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"listeners":[{"host":"desk.example","rules":[%s,%s,%s]}],"clusters":[%s,%s]}`, r.version,
		rule("lookups", "safe", "/lookups/", "desk"), rule("orders", "unsafe", "/orders/", "desk"), rule("manuals", "download", "/manuals/", "library"),
		fmt.Sprintf(cluster, "desk", ""), fmt.Sprintf(cluster, "library", `,"sharded":true,"warmupS":2.0,"grants":"rpc"`))
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		if r.order(r.registries[i%len(r.registries)], http.MethodPut, "/api/config", body) == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration is not acknowledged")
}

// order sends an order of the operator to a node. It returns the status, or 0 if there is no answer within a second.
func (r *run) order(to *host, method, path, body string) int {
	request, err := http.NewRequest(method, "http://"+to.control+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	r.note("operator sends %s %s to %s", method, path, to.name)
	response, err := client.Do(request)
	if err != nil {
		r.note("operator gets no answer from %s after %v: %v", to.name, time.Since(sent).Round(time.Millisecond), err)
		return 0
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 300))
	r.note("operator gets %d from %s after %v %s", response.StatusCode, to.name, time.Since(sent).Round(time.Millisecond), bytes.TrimSpace(text))
	return response.StatusCode
}

// orderUntilAcked sends an order to the nodes in turn until one acknowledges it, and returns when it did.
func (r *run) orderUntilAcked(nodes []*host, method, path string) (time.Time, error) {
	for i := range 5 * len(nodes) {
		if status := r.order(nodes[i%len(nodes)], method, path, ""); status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, errors.New("the order is not acknowledged")
}

// server is a back end with its process, which may be started again.
type server struct {
	*process
	id, address string
	arguments   []string
}

// addServer chooses an address for a back end. arguments follow the usual ones.
func (r *run) addServer(id, service, zone string, control []string, arguments ...string) (*server, error) {
	ip := fmt.Sprintf("127.19.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
	ports, err := freePorts(1, []string{ip})
	if err != nil {
		return nil, err
	}
	s := &server{id: id, address: fmt.Sprintf("%s:%d", ip, ports[0])}
	s.arguments = append([]string{
		"server", "-id", id, "-service", service, "-address", s.address, "-zone", zone, "-heartbeat", heartbeat.String(),
		"-control", strings.Join(control, ","),
	}, arguments...)
	r.servers[id] = s
	return s, nil
}

// startServer starts the process of a back end and collects its events.
func (r *run) startServer(s *server, arguments ...string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(program, append(append([]string(nil), s.arguments...), arguments...)...)
	output, input, err := os.Pipe()
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = input, os.Stderr
	s.process, err = r.start(command)
	input.Close()
	if err != nil {
		return err
	}
	r.tasks.Go(func() {
		defer output.Close()
		for lines := bufio.NewScanner(output); lines.Scan(); {
			e := event{}
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				r.mu.Lock()
				r.events = append(r.events, e)
				r.mu.Unlock()
			}
		}
	})
	return nil
}

// kill ends a back end with SIGKILL.
func (r *run) kill(s *server) {
	_ = s.command.Process.Kill()
	<-s.ended
	r.mu.Lock()
	r.events = append(r.events, event{At: time.Now(), Server: s.id, PID: s.command.Process.Pid, Kind: "killed"})
	r.mu.Unlock()
}

// sortedEvents returns the events so far in the order of their times.
func (r *run) sortedEvents() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := append([]event(nil), r.events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	return events
}

// recordAll writes what was sent, answered and run into the record.
func (r *run) recordAll() {
	for _, e := range r.sortedEvents() {
		line := fmt.Sprintf("server %s (process %d): %s", e.Server, e.PID, e.Kind)
		switch e.Kind {
		case "grant", "release":
			line += fmt.Sprintf(" of keys %d to %d, fence %d", e.From, e.To, e.Fence)
			if e.HoldMs > 0 {
				line += fmt.Sprintf(", for %d ms", e.HoldMs)
			}
		case "run", "done":
			line += fmt.Sprintf(" request %s, key %d", e.Request, e.Key)
		case "refused":
			line += " request " + e.Request
		}
		r.noteAt(e.At, "server %s", strings.TrimPrefix(strings.TrimSpace(line+" "+e.Text), "server "))
	}
	r.mu.Lock()
	answers := append([]answer(nil), r.answers...)
	r.mu.Unlock()
	for _, a := range answers {
		r.noteAt(a.sent, "client request %s %s, key %d, to %s: %s after %v", a.id, a.path, a.key, a.entry, a.result, a.took.Round(time.Millisecond))
	}
}
