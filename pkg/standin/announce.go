package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// Announcement returns the next announcement of the target.
func (s *Server) Announcement() *schemav1.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	load := s.faults.ReportedLoad
	if load == 0 {
		load = min(1, float64(s.inFlight.Load())/float64(s.options.Slots))
	}
	return &schemav1.Announcement{
		Target: s.options.Name, Service: s.options.Service, Address: s.Address(), BootId: s.bootID, Sequence: s.sequence,
		Capabilities: s.options.Capabilities, Slots: s.options.Slots, MaxConnections: s.options.MaxConnections,
		Load: load, Draining: s.draining, Token: s.options.Token, DataCentre: s.options.DataCentre,
		ClockMs: clockMs(s.options.Clock()),
	}
}

// announceLoop sends an announcement at each interval until ctx ends. After a failure it tries the next host.
func (s *Server) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: s.options.AnnounceInterval}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(s.options.AnnounceInterval)
	defer ticker.Stop()
	for host := 0; ; {
		host = s.announceOnce(ctx, client, host)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announceOnce sends one announcement. It tries each host at most once, starting with the index first, and returns the index
// to start with next time.
func (s *Server) announceOnce(ctx context.Context, client *http.Client, first int) int {
	for i := range s.options.Hosts {
		s.waitWhileFrozen()
		index := (first + i) % len(s.options.Hosts)
		if s.announceTo(ctx, client, s.options.Hosts[index]) {
			return index
		}
	}
	return first
}

func (s *Server) announceTo(ctx context.Context, client *http.Client, host string) bool {
	data, err := protojson.Marshal(s.Announcement())
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+target.AnnouncePath, bytes.NewReader(data))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
}
