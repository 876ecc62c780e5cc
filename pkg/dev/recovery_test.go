package dev

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// BenchmarkRecovery measures the time until every key of a target is served again after a loss: the longest over its
// keys, for requests with a short deadline that are sent again every few milliseconds. Each trial has a deployment of
// its own. The design asks for at most 1 s. Run it with
//
//	go test ./pkg/dev -run '^$' -bench Recovery -benchtime 5x
func BenchmarkRecovery(b *testing.B) {
	lossOf := map[string]func(s *system, attached, leader string){
		"target":        func(s *system, _, _ string) { s.targets[recoveryTarget].Kill() },
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
			var took []time.Duration
			for range b.N {
				took = append(took, recoveryTrial(b, lossOf[name]))
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2].Seconds()*1000, "median-ms")
			b.ReportMetric(took[len(took)-1].Seconds()*1000, "max-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// recoveryTarget is a target of seoul-mapo; with 5 hosts there, the loss of two leaves a majority.
const (
	recoveryTarget = 1
	recoveryHosts  = 5
	recoverySite   = "seoul-mapo"
	// recoveryDeadline is short, so that a request that met the lost host does not count for its whole deadline.
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
	Eventually(func() error { return s.unserved(client) }, within, often).Should(Succeed())
	name := s.targets[recoveryTarget].Name()
	attached, leader := s.attachedHost(name), s.leaderOf(recoverySite)
	var keys []*operation
	for i := range probes {
		o := &operation{key: fmt.Sprintf("probe-%d", i), method: http.MethodGet, path: "/probe", deadline: recoveryDeadline}
		if send(client, s.hosts[0].CallerAddress(), o).answer.Target == name {
			keys = append(keys, o)
		}
	}
	if len(keys) == 0 {
		b.Fatal("the target owns none of the probed keys")
	}
	// The target must be past its cold start, which takes 10 s of answered requests.
	for begun := time.Now(); time.Since(begun) < recoveryWarmUp; time.Sleep(20 * time.Millisecond) {
		for _, o := range keys {
			send(client, s.hosts[0].CallerAddress(), o)
		}
	}
	start := time.Now()
	lose(s, attached, leader)
	for _, o := range keys {
		for !send(client, s.hosts[0].CallerAddress(), o).served() {
			if time.Since(start) > within {
				b.Fatal("not served again")
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(start)
}
