package dev

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// BenchmarkRecovery measures the time from the loss of a process until every key of a target is served again, that is, the
// longest time over its keys. Requests have a short deadline and are retried every few milliseconds. Each trial uses a new
// deployment. The design requires at most 1 s. Run it with
//
//	go test ./pkg/dev -run '^$' -bench Recovery -benchtime 5x
func BenchmarkRecovery(b *testing.B) {
	losses := map[string]func(s *system, attached, leader string){
		"target":        func(s *system, _, _ string) { s.targets[recoveryTargetIndex].Kill() },
		"attached host": func(s *system, attached, _ string) { s.kill(attached) },
		"group leader":  func(s *system, _, leader string) { s.kill(leader) },
		"host and leader": func(s *system, attached, leader string) {
			s.kill(attached)
			if leader != attached {
				s.kill(leader)
			}
		},
	}
	for _, name := range []string{"target", "attached host", "group leader", "host and leader"} {
		b.Run(name, func(b *testing.B) {
			RegisterTestingT(b)
			var durations []time.Duration
			for range b.N {
				durations = append(durations, recoveryTrial(b, losses[name]))
			}
			slices.Sort(durations)
			b.ReportMetric(durations[len(durations)/2].Seconds()*1000, "median-ms")
			b.ReportMetric(durations[len(durations)-1].Seconds()*1000, "max-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

const (
	// recoveryTargetIndex is the index of a target in recoveryDataCentre.
	recoveryTargetIndex = 1
	// With recoveryHosts hosts, the group of the data centre keeps its majority when two are lost.
	recoveryHosts      = 5
	recoveryDataCentre = "seoul-mapo"
	// recoveryDeadline is short, so that a request sent to the lost host does not delay the measurement for long.
	recoveryDeadline = 250 * time.Millisecond
	recoveryWarmUp   = 14 * time.Second
)

func recoveryTrial(b *testing.B, lose func(s *system, attached, leader string)) time.Duration {
	s, err := startSystem(b.TempDir(), recoveryHosts)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Kill()
	client := newClient()
	defer client.CloseIdleConnections()
	Eventually(func() error { return s.checkServed(client) }, eventuallyTimeout, pollInterval).Should(Succeed())
	name := s.targets[recoveryTargetIndex].Name()
	attached, leader := s.attachedHost(name), s.groupLeader(recoveryDataCentre)
	var keys []*operation
	for i := range probeCount {
		o := &operation{key: fmt.Sprintf("probe-%d", i), method: http.MethodGet, path: "/probe", deadline: recoveryDeadline}
		if send(client, s.hosts[0].CallerAddress(), o).targetResponse.Target == name {
			keys = append(keys, o)
		}
	}
	if len(keys) == 0 {
		b.Fatal("the target owns none of the probed keys")
	}
	// The target must be past its cold start, which takes 10 s of requests with responses.
	for begun := time.Now(); time.Since(begun) < recoveryWarmUp; time.Sleep(20 * time.Millisecond) {
		for _, o := range keys {
			send(client, s.hosts[0].CallerAddress(), o)
		}
	}
	start := time.Now()
	lose(s, attached, leader)
	for _, o := range keys {
		for !send(client, s.hosts[0].CallerAddress(), o).served() {
			if time.Since(start) > eventuallyTimeout {
				b.Fatal("not served again")
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(start)
}
