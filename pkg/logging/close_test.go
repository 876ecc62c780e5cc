package logging

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"time"
)

// failingOutput refuses all writes.
type failingOutput struct{}

func (failingOutput) Write([]byte) (int, error) { return 0, errors.New("output is gone") }

// Guards against a panic of a task that still logs while the process stops.
func TestWriteBesideClose(t *testing.T) {
	for range 50 {
		s, err := Start(&bytes.Buffer{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 200 {
					if _, err := s.Write([]byte("line\n")); err != nil {
						t.Error(err)
					}
				}
			})
		}
		s.Close()
		writers.Wait()
	}
}

// Guards against lost lines that are not counted.
func TestFailedWriteCountsEachLine(t *testing.T) {
	s, err := Start(failingOutput{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(5 * time.Second); s.dropped.Load() < 100 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if dropped := s.dropped.Load(); dropped != 100 {
		t.Fatalf("%d of 100 lost lines counted", dropped)
	}
	s.Close()
}
