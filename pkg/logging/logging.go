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
	started       time.Time
	// closing is closed when the queued lines are to be written for the last time, done when that has been done.
	closing, done chan struct{}
}

// Start makes klog write to output through a new Sink. verbosity is the level up to which klog.V lines are logged.
func Start(output io.Writer, verbosity int) (*Sink, error) {
	s := &Sink{lines: make(chan []byte, queueLength), started: time.Now(), closing: make(chan struct{}), done: make(chan struct{})}
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
	second := int64(time.Since(s.started) / time.Second)
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
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(output, line)
		case <-s.closing:
			for line, ok := s.tryReceive(); ok; line, ok = s.tryReceive() {
				s.writeBatch(output, line)
			}
			return
		}
	}
}

// batchSize is the size in bytes up to which lines are written together.
const batchSize = 8 << 10

// writeBatch writes a line and further queued ones.
func (s *Sink) writeBatch(output io.Writer, line []byte) {
	batch, lines := append(make([]byte, 0, 2*batchSize), line...), int64(1)
	for len(batch) < batchSize {
		more, ok := s.tryReceive()
		if !ok {
			break
		}
		batch = append(batch, more...)
		lines++
	}
	if dropped := s.dropped.Swap(0); dropped > 0 {
		batch = append(batch, fmt.Sprintf("W log lines dropped count=%d\n", dropped)...)
		lines += dropped
	}
	if _, err := output.Write(batch); err != nil {
		s.dropped.Add(lines)
	}
}

func (s *Sink) tryReceive() ([]byte, bool) {
	select {
	case line := <-s.lines:
		return line, true
	default:
		return nil, false
	}
}

// Close writes the queued lines, but waits no longer than flushTimeout for the output. Nothing may be logged after
// Close, and Close may be called only once.
func (s *Sink) Close() {
	klog.Flush()
	klog.SetOutput(io.Discard)
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}
