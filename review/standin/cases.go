package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// serverZone returns the zone of a back end.
func serverZone(i int) string { return zones[i%len(zones)] }

// controls returns the control addresses of the registry hosts, the one of a zone first.
func (r *run) controls(zone string) []string {
	var nodes []string
	for _, h := range r.registries {
		if h.zone == zone {
			nodes = append([]string{h.control}, nodes...)
		} else {
			nodes = append(nodes, h.control)
		}
	}
	return nodes
}

// startDeployment starts the hosts, submits a configuration, and starts desk and library back ends.
func (r *run) startDeployment(desk, library int) error {
	if err := r.startHosts(); err != nil {
		return err
	}
	if err := r.submit(); err != nil {
		return err
	}
	for i := range desk + library {
		id, service, arguments := fmt.Sprintf("i-desk%d", i), "desk", []string(nil)
		if i >= desk {
			id, service, arguments = fmt.Sprintf("i-library%d", i-desk), "library", []string{"-sharded"}
		}
		s, err := r.addServer(id, service, serverZone(i), r.controls(serverZone(i)), arguments...)
		if err != nil {
			return err
		}
		if err := r.startServer(s); err != nil {
			return err
		}
	}
	paths := []string{"/lookups/", "/orders/"}
	if library > 0 {
		paths = append(paths, "/manuals/")
	}
	return r.awaitService(paths...)
}

const (
	// lateBeat is how late the first heartbeat of a back end arrives that has just started again. PROTOCOL.md: "A heartbeat may arrive seconds
	// late."
	lateBeat = 1500 * time.Millisecond
	// downTime is how long a back end is down.
	downTime = 200 * time.Millisecond
)

// restartedOwner: an owner of keys ends and starts again at once under its id, and its first heartbeat arrives late. OWNER must hold.
func restartedOwner(r *run) (bool, error) {
	const libraries, rounds = 8, 5
	if err := r.startDeployment(4, libraries); err != nil {
		return false, err
	}
	r.clients("/manuals/", 60)
	time.Sleep(3 * time.Second)
	for round := range rounds {
		s := r.servers[fmt.Sprintf("i-library%d", round)]
		if r.trouble {
			if err := r.restartLate(s); err != nil {
				return false, err
			}
		}
		time.Sleep(8 * time.Second)
	}
	r.recordAll()
	return r.checkOwners(), nil
}

// restartLate kills a back end and starts it again under its id at its address. What it sends to the control nodes in its first half second,
// which is its first heartbeat, arrives late; it sends the next one a second later to the next node, where it arrives at once.
func (r *run) restartLate(s *server) error {
	control, paths, err := r.latePaths()
	if err != nil {
		return err
	}
	for _, d := range paths {
		d.delay.Store(int64(lateBeat))
	}
	r.note("%s is killed", s.id)
	r.kill(s)
	time.Sleep(downTime)
	r.note("%s starts again; its first heartbeat arrives %v late", s.id, lateBeat)
	if err := r.startServer(s, "-cold", "3s", "-control", strings.Join(control, ",")); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	for _, d := range paths {
		d.delay.Store(0)
	}
	return nil
}

// latePaths returns the addresses of paths to the control nodes that can delay what is sent, and the paths.
func (r *run) latePaths() (control []string, paths []*delayer, err error) {
	for _, h := range r.registries {
		d, err := r.newDelayer(h.control)
		if err != nil {
			return nil, nil, err
		}
		paths = append(paths, d)
		control = append(control, d.address)
	}
	return control, paths, nil
}

// evacuatedZone is the zone that lateOrder evacuates.
const evacuatedZone = "ruse-east"

// lateOrder: a node of the core is cut off from the others while the operator withdraws an evacuation there, repeats that elsewhere, and
// evacuates the zone again. EVAC must hold after the cut.
func lateOrder(r *run) (bool, error) {
	return r.evacuateInRounds(4, 4*time.Second, disturbance{
		begin: func(h *host) {
			r.note("%s is cut off from the other registry hosts", h.name)
			cutHost.Store(h)
		},
		end: func(*host) {
			cutHost.Store(nil)
			r.note("the cut ends; it held %d connections", heldConnections.Swap(0))
		},
	})
}

// frozenOrder: the same with a node that stands still instead of one that is cut off.
func frozenOrder(r *run) (bool, error) {
	return r.evacuateInRounds(6, 2*time.Second, disturbance{
		begin: func(h *host) {
			r.note("%s stands still (SIGSTOP)", h.name)
			_ = h.command.Process.Signal(syscall.SIGSTOP)
		},
		end: func(h *host) {
			_ = h.command.Process.Signal(syscall.SIGCONT)
			r.note("%s runs again (SIGCONT)", h.name)
		},
	})
}

// disturbance is what happens to a registry host while the operator gives orders.
type disturbance struct{ begin, end func(*host) }

// evacuateInRounds evacuates a zone, withdraws that and evacuates it again, in rounds. After each round it counts for a while the requests
// that reach the zone.
func (r *run) evacuateInRounds(rounds int, watch time.Duration, d disturbance) (broken bool, err error) {
	if err := r.startDeployment(12, 0); err != nil {
		return false, err
	}
	r.clients("/lookups/", 60)
	r.clients("/orders/", 20)
	if _, err := r.orderUntilAcked(r.registries[:3], http.MethodPost, "/api/evacuate/"+evacuatedZone); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	type period struct{ from, to time.Time }
	var evacuated []period
	for range rounds {
		from, err := r.evacuateAgain(d)
		if err != nil {
			return false, err
		}
		time.Sleep(time.Until(from) + watch)
		evacuated = append(evacuated, period{from, time.Now()})
	}
	r.recordAll()
	for _, p := range evacuated {
		broken = r.checkNotRun(p.from, p.to, "the zone "+evacuatedZone+" is evacuated", func(id string) bool {
			var number int
			_, err := fmt.Sscanf(id, "i-desk%d", &number)
			return err == nil && serverZone(number) == evacuatedZone
		}) || broken
	}
	return broken, nil
}

// evacuateAgain withdraws the evacuation and evacuates the zone again during the disturbance of the last registry host. It returns the time
// from which on no request may reach the zone.
func (r *run) evacuateAgain(d disturbance) (from time.Time, err error) {
	const path = "/api/evacuate/" + evacuatedZone
	last, others := r.registries[len(r.registries)-1], r.registries[:len(r.registries)-1]
	if r.trouble {
		d.begin(last)
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := r.orderUntilAcked(append([]*host{last}, others...), http.MethodDelete, path); err != nil {
		return from, err
	}
	time.Sleep(1500 * time.Millisecond)
	acked, err := r.orderUntilAcked(others, http.MethodPost, path)
	if err != nil {
		return from, err
	}
	time.Sleep(time.Second)
	ended := time.Now()
	if r.trouble {
		d.end(last)
	}
	// An unstable core stretches the bound by maxSkewMs at most, and is stable contactMs after the disturbance.
	from = acked.Add(evacuateTime + maxSkew)
	if later := ended.Add(contactTime + evacuateTime); later.After(from) {
		from = later
	}
	return from, nil
}
