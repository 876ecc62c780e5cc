package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	coldPerSecond = 7.1
	coldOvershoot = 1.5
	coldSlack     = 5
	coldTime      = 3 * time.Second
	contactTime   = 3 * time.Second
)

// coldBound is the number of requests that a cold server may get in one second.
const coldBound = coldPerSecond*coldOvershoot + coldSlack

const configuration = `{"version":"r1","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"listeners":[{"host":"lookups.example","rules":[{"name":"lookups","kind":"safe","targetLatencyMs":400,"priority":2,"match":{"pathPrefix":"/lookups/"},` +
	`"action":{"service":"workshop-desk","timeoutMs":800,"maxAttempts":2,"allowedRegions":[]}}]}],` +
	`"clusters":[{"name":"workshop-desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":7.1}]}`

// startServers configures the deployment, starts perZone servers in each zone and waits until all front machines are ready.
func startServers(d *deployment, r *record, configuration string, perZone int, work time.Duration) ([]*server, error) {
	if err := d.operate("PUT", "/api/config", configuration, 15*time.Second); err != nil {
		return nil, err
	}
	var controls []string
	for _, c := range d.cores {
		controls = append(controls, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	var servers []*server
	for i, z := range zones {
		for n := range perZone {
			paths := map[string]*delayProxy{}
			for _, c := range controls {
				p, err := newDelayProxy(d.address(50+perZone*i+n), c)
				if err != nil {
					return nil, err
				}
				paths[c] = p
			}
			s := newServer(fmt.Sprintf("i-%s-%d", z.name, n+1), "workshop-desk", z.name, fmt.Sprintf("%s:%d", d.address(50+perZone*i+n), serverPort), 3,
				work, controls, paths, r)
			if err := s.start(); err != nil {
				return nil, err
			}
			servers = append(servers, s)
		}
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	return servers, nil
}

// coldDeployment configures the deployment and starts two servers in each zone and clients that send perSecond requests a second. The servers
// can run about 200.
func coldDeployment(ctx context.Context, d *deployment, r *record, perSecond float64) ([]*server, *clients, error) {
	servers, err := startServers(d, r, configuration, 2, 120*time.Millisecond)
	if err != nil {
		return nil, nil, err
	}
	c := newClients(d, r, "lookups.example", "/lookups/", 1500*time.Millisecond)
	go c.run(ctx, perSecond)
	time.Sleep(contactTime + 2*time.Second)
	if c.served.Load() < 100 {
		return nil, nil, fmt.Errorf("only %d requests served", c.served.Load())
	}
	return servers, c, nil
}

// mostInOneSecond returns the largest number of requests that were sent and reached the server within one second between two times.
func mostInOneSecond(s *server, c *clients, from, to time.Time) (most int, at time.Time) {
	at = from
	s.mu.Lock()
	arrivals := append([]arrival{}, s.arrivals...)
	s.mu.Unlock()
	for i, last := range arrivals {
		if last.at.Before(from) || last.at.After(to) {
			continue
		}
		count := 0
		for _, a := range arrivals[:i+1] {
			sent, ok := c.sentAt(a.id)
			if ok && !a.at.Before(from) && last.at.Sub(sent) < time.Second && last.at.Sub(a.at) < time.Second {
				count++
			}
		}
		if count > most {
			most, at = count, last.at
		}
	}
	return most, at
}

// lateHeartbeat checks FAILBACK: servers become cold again, one after the other. With trouble, the heartbeat that each has sent just before is
// held up on its way, so that it arrives after the one that says that the server is cold, at another core machine.
func lateHeartbeat(d *deployment, r *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, c, err := coldDeployment(ctx, d, r, 130)
	if err != nil {
		return false, err
	}
	broken := false
	for _, s := range servers {
		delay := 1100*time.Millisecond + time.Duration(rand.IntN(500))*time.Millisecond
		if trouble {
			s.holdUpNext(delay)
		}
		s.mu.Lock()
		before := s.sequence
		s.mu.Unlock()
		for deadline := time.Now().Add(2 * heartbeat); ; time.Sleep(5 * time.Millisecond) {
			s.mu.Lock()
			sent := s.sequence > before
			s.mu.Unlock()
			if sent {
				break
			}
			if time.Now().After(deadline) {
				return false, fmt.Errorf("server %s sends no heartbeats", s.id)
			}
		}
		time.Sleep(100*time.Millisecond + time.Duration(rand.IntN(800))*time.Millisecond)
		cold := s.becomeCold(coldTime)
		time.Sleep(coldTime + 1500*time.Millisecond)
		s.mu.Lock()
		acknowledged := s.coldAcknowledged
		s.mu.Unlock()
		if acknowledged.IsZero() {
			return false, fmt.Errorf("server %s could not say that it is cold", s.id)
		}
		most, at := mostInOneSecond(s, c, acknowledged, cold.Add(coldTime))
		r.write("cold", "server", s.id, "from", stamp(cold), "acknowledged", stamp(acknowledged), "heldUp", map[bool]time.Duration{true: delay}[trouble],
			"mostInOneSecond", most, "until", stamp(at), "bound", coldBound, "broken", float64(most) > coldBound)
		fmt.Printf("%s cold at %s, acknowledged at %s, %d requests in the second before %s; bound %.2f\n", s.id, stamp(cold), stamp(acknowledged), most, stamp(at), coldBound)
		broken = broken || float64(most) > coldBound
	}
	cancel()
	c.tasks.Wait()
	r.write("requests", "sent", c.counter.Load(), "served", c.served.Load(), "refused", c.refused.Load(), "failed", c.failed.Load())
	return broken, nil
}

// restartBehindCut checks FAILBACK: servers crash and start again, cold, under the IDs that they had. With trouble, they are cut off from the core
// machines meanwhile, while clients' requests still reach them.
func restartBehindCut(d *deployment, r *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, c, err := coldDeployment(ctx, d, r, 160)
	if err != nil {
		return false, err
	}
	broken := false
	for _, s := range servers {
		s.cutOff(trouble)
		time.Sleep(500 * time.Millisecond)
		s.crash()
		crashed := time.Now()
		time.Sleep(20*time.Millisecond + time.Duration(rand.IntN(60))*time.Millisecond)
		s.mu.Lock()
		s.coldUntil = time.Now().Add(coldTime)
		s.mu.Unlock()
		started := time.Now()
		if err := s.start(); err != nil {
			return false, err
		}
		time.Sleep(coldTime)
		s.cutOff(false)
		time.Sleep(2 * time.Second)
		most, at := mostInOneSecond(s, c, started, started.Add(coldTime))
		r.write("cold", "server", s.id, "cutOff", trouble, "crashed", stamp(crashed), "started", stamp(started),
			"mostInOneSecond", most, "until", stamp(at), "bound", coldBound, "broken", float64(most) > coldBound)
		fmt.Printf("%s crashed at %s, started again at %s, cold: %d requests in the second before %s; bound %.2f\n", s.id, stamp(crashed), stamp(started), most, stamp(at), coldBound)
		broken = broken || float64(most) > coldBound
	}
	cancel()
	c.tasks.Wait()
	r.write("requests", "sent", c.counter.Load(), "served", c.served.Load(), "refused", c.refused.Load(), "failed", c.failed.Load())
	return broken, nil
}
