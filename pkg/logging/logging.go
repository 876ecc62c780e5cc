// Package logging sends klog's lines to an output without ever blocking the process: lines beyond a rate or a queue are
// dropped and counted.
package logging

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// queueLength bounds the lines that wait for the output, at about 300 bytes each.
	queueLength = 2048
	// linesPerSecond bounds the volume: about twice the requests of one entry host on its heaviest days.
	linesPerSecond = 400
	// flushTimeout bounds the wait for the output at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// Sink is the output. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	written atomic.Int64
	done    chan struct{}
}

// Start makes klog write to output through a sink.
func Start(output io.Writer, verbosity int) (*Sink, error) {
	s := &Sink{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true", "v": fmt.Sprint(verbosity),
	} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	klog.SetOutput(s)
	go s.drain(output)
	return s, nil
}

// Write implements io.Writer. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if s.second.Swap(second) != second {
		s.written.Store(0)
	}
	if s.written.Add(1) > linesPerSecond {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// drain writes lines in batches, so that a busy process makes few system calls.
func (s *Sink) drain(output io.Writer) {
	defer close(s.done)
	batch := make([]byte, 0, 16<<10)
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for len(batch) < cap(batch)/2 {
			more, ok := s.poll()
			if !ok {
				break
			}
			batch = append(batch, more...)
		}
		if dropped := s.dropped.Swap(0); dropped > 0 {
			batch = append(batch, fmt.Sprintf("W log lines dropped count=%d\n", dropped)...)
		}
		if _, err := output.Write(batch); err != nil {
			s.dropped.Add(1)
		}
	}
}

func (s *Sink) poll() ([]byte, bool) {
	select {
	case line, ok := <-s.lines:
		return line, ok
	default:
		return nil, false
	}
}

// Close writes what is queued, as far as the output takes it in time. Nothing may be logged afterwards.
func (s *Sink) Close() {
	klog.Flush()
	klog.SetOutput(io.Discard)
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}
