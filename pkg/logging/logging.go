// Package logging writes klog's lines to an output without ever blocking the process. Lines above a rate limit, and lines
// that find the queue to the output full, are dropped and counted.
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
	// queueLength is the largest number of lines that wait for the output. A line has about 300 bytes.
	queueLength = 2048
	// linesPerSecond limits the log volume to about twice the request rate of one entry host on its busiest days.
	linesPerSecond = 400
	// flushTimeout is how long Close waits for the output to take the queued lines.
	flushTimeout = 200 * time.Millisecond
)

// Sink queues log lines and writes them to an output in the background. It is safe for concurrent use until Close.
type Sink struct {
	lines         chan []byte
	dropped       atomic.Int64
	currentSecond atomic.Int64
	linesInSecond atomic.Int64
	done          chan struct{}
}

// Start makes klog write to output through a new Sink. verbosity is the level up to which klog.V lines are logged.
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
	go s.writeLoop(output)
	return s, nil
}

// Write implements io.Writer. It never blocks and never returns an error; a line that can't be queued is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if s.currentSecond.Swap(second) != second {
		s.linesInSecond.Store(0)
	}
	if s.linesInSecond.Add(1) > linesPerSecond {
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

// writeLoop writes the queued lines to output in batches, so that a process that logs a lot makes few system calls.
func (s *Sink) writeLoop(output io.Writer) {
	defer close(s.done)
	batch := make([]byte, 0, 16<<10)
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for len(batch) < cap(batch)/2 {
			more, ok := s.tryReceive()
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

func (s *Sink) tryReceive() ([]byte, bool) {
	select {
	case line, ok := <-s.lines:
		return line, ok
	default:
		return nil, false
	}
}

// Close writes the queued lines, but waits no longer than flushTimeout for the output. Nothing may be logged after
// Close, and Close may be called only once.
func (s *Sink) Close() {
	klog.Flush()
	klog.SetOutput(io.Discard)
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}
