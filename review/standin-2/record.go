package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

var began = time.Now()

// stamp is a time in seconds since the start of the script.
func stamp(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(began).Seconds()) }

// record is the record of what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file}, err
}

func (r *record) write(event string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", stamp(time.Now()), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%q", pairs[i], fmt.Sprint(pairs[i+1]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, b.String())
}
