package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the machines, each of which has a loopback address of its own.
const (
	frontPort, readyPort, controlPort = 8161, 8167, 8166
	firstInternalPort                 = 7720
	lastInternalPort                  = 7735
	metricsPort                       = 9464
	serverPort                        = 8646
)

// zones of the small deployment and their regions, as in sites/dmau-gateway.toml.
var zones = []struct{ name, region string }{
	{"dobrich-north", "dobrich"}, {"dobrich-south", "dobrich"}, {"ruse-east", "ruse"}, {"ruse-west", "ruse"},
}

const heartbeat = 1500 * time.Millisecond

// machine is one process of the system.
type machine struct {
	name, class, zone, region, ip, dir string
	cmd                                *exec.Cmd
	exited                             chan struct{}
}

// memoryMb is the memory of the machine, as in its settings.
func (m *machine) memoryMb() int64 {
	if m.class == "core" {
		return 280
	}
	return 284
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	root, dir, prefix string
	cores, fronts     []*machine
}

// newDeployment starts one core and one front machine in each zone.
func newDeployment(root string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir}
	if d.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	for i, z := range zones {
		d.cores = append(d.cores, &machine{name: "core-" + z.name + "-1", class: "core", zone: z.name, region: z.region, ip: d.address(10 + i)})
		d.fronts = append(d.fronts, &machine{name: "front-" + z.name + "-1", class: "front", zone: z.name, region: z.region, ip: d.address(20 + i)})
	}
	for _, m := range d.machines() {
		if err := d.start(m, true); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) address(n int) string { return fmt.Sprintf("%s.%d", d.prefix, n) }

func (d *deployment) machines() []*machine {
	return append(append([]*machine{}, d.cores...), d.fronts...)
}

// freePrefix returns the first three bytes of loopback addresses on which the ports of the deployment are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 64+rand.IntN(120), 1+rand.IntN(250))
		free := true
		for n := 10; n < 30 && free; n++ {
			for _, port := range []int{frontPort, readyPort, controlPort, firstInternalPort, firstInternalPort + 1, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, n, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// settings returns the settings file of a machine, with the fields and the bounds of the site.
func (d *deployment) settings(m *machine, bootstrap bool) string {
	var b strings.Builder
	serves, role := "front", "entry"
	if m.class == "core" {
		serves, role = "control", "registry"
	}
	fmt.Fprintf(&b, "nodeName: %q\nrole: %q\nmachineClass: %q\nserves:\n  - %q\nip: %q\nzone: %q\nregion: %q\nzones:\n", m.name, role, m.class, serves, m.ip, m.zone, m.region)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: %q\n", z.name, z.region)
	}
	if m.class == "core" {
		fmt.Fprintf(&b, "listen:\n  control: \"%s:%d\"\n", m.ip, controlPort)
	} else {
		fmt.Fprintf(&b, "listen:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"\n", m.ip, frontPort, m.ip, readyPort)
	}
	fmt.Fprintf(&b, "internalPorts:\n  - %d\n  - %d\nseeds:\n", firstInternalPort, lastInternalPort)
	for _, c := range d.cores[:3] {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", c.ip, controlPort)
	}
	fmt.Fprintf(&b, "bootstrap: %v\nfaultCounted: %v\n", bootstrap, m.class == "core")
	if m.class == "core" {
		fmt.Fprintf(&b, "limits:\n  cpuShare: 0.24\n  cpuCores: 1\n  memoryMb: 280\n  maxFds: 4096\n  linkMbps: 170.0\n  diskMb: 256\ndataDir: %q\n", filepath.Join(m.dir, "data"))
	} else {
		b.WriteString("limits:\n  cpuShare: 0.32\n  cpuCores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n")
	}
	fmt.Fprintf(&b, `discovery: "registration"
entry: "vip"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "own", "places"]
faultTolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  seedLagS: 3
  addrReuseS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxSkewMs: 5000
  retryBudgetRatio: 0.2
  retryWindowS: 10
  retrySlack: 56
  coldOvershoot: 1.5
  coldSlack: 5
  evacuateMs: 5000
  recoveryS: 15
  maxHoldMs: 10000
  thawSlackMs: 300
configMode: "highest"
grants: "rpc"
`, heartbeat.Milliseconds())
	return b.String()
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine, bootstrap bool) error {
	m.dir = filepath.Join(d.dir, m.name)
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o700); err != nil {
		return err
	}
	file := filepath.Join(m.dir, "local.yaml")
	if err := os.WriteFile(file, []byte(d.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	role := "entry"
	if m.class == "core" {
		role = "registry"
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command("target/almondrock", "platform", role, "--metrics-port", fmt.Sprint(metricsPort))
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = d.root, log, log
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDROCK_BOOT=" + file}
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

// stop ends all processes and removes the files. With keep, the files stay.
func (d *deployment) stop(keep bool) {
	for _, m := range d.machines() {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if keep {
		fmt.Fprintln(os.Stderr, "files kept in", d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

// ended returns the names of machines whose processes have ended.
func (d *deployment) ended() []string {
	var names []string
	for _, m := range d.machines() {
		select {
		case <-m.exited:
			names = append(names, m.name)
		default:
		}
	}
	return names
}

// operate sends an order of the operator to one machine after the other until it is acknowledged.
func (d *deployment) operate(method, path, body string, within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	last := "not sent"
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, c := range d.cores {
			request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", c.ip, controlPort, path), strings.NewReader(body))
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err != nil {
				last = err.Error()
				continue
			}
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Sprint(response.Status, " ", string(bytes.TrimSpace(answer)))
		}
	}
	return fmt.Errorf("%s %s not acknowledged: %s", method, path, last)
}

// awaitReady waits until all front machines are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, f := range d.fronts {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", f.ip, readyPort))
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.fronts) {
			return nil
		}
	}
	return fmt.Errorf("front machines not ready")
}

// delayProxy forwards connections to one address. What callers send on connections that are accepted while a delay is set is held up for
// that time.
type delayProxy struct {
	listener net.Listener
	to       string
	delay    chan time.Duration
	// cut is set while nothing passes.
	cut atomic.Bool
}

// newDelayProxy returns a proxy at a free port of an address.
func newDelayProxy(ip, to string) (*delayProxy, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &delayProxy{listener: listener, to: to, delay: make(chan time.Duration, 1)}
	go p.run()
	return p, nil
}

func (p *delayProxy) run() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		delay := time.Duration(0)
		select {
		case delay = <-p.delay:
		default:
		}
		go p.forward(caller, delay)
	}
}

func (p *delayProxy) forward(caller net.Conn, delay time.Duration) {
	defer caller.Close()
	if p.cut.Load() {
		// The caller gives up.
		_, _ = io.Copy(io.Discard, caller)
		return
	}
	var dialer net.Dialer
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	target, err := dialer.DialContext(ctx, "tcp", p.to)
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(caller, target)
		caller.Close()
	}()
	type piece struct {
		at   time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer target.Close()
		for next := range pieces {
			time.Sleep(time.Until(next.at))
			if _, err := target.Write(next.data); err != nil {
				return
			}
		}
	}()
	for {
		buffer := make([]byte, 16<<10)
		n, err := caller.Read(buffer)
		if n > 0 {
			pieces <- piece{time.Now().Add(delay), buffer[:n]}
		}
		if err != nil {
			// The end of the connection takes as long as the data.
			pieces <- piece{time.Now().Add(delay), nil}
			close(pieces)
			return
		}
	}
}
