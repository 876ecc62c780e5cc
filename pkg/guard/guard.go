// Package guard keeps a panic in one task, call or request from ending the process.
package guard

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
)

// Pauses of Loop after a panic. They double with each one in a row, so that a panic that recurs does not take the whole processor.
const (
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// PanicError reports that a task ended with a panic.
type PanicError struct {
	Task   string
	Reason any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("%s panicked: %v", e.Task, e.Reason) }

var (
	hooksMu sync.Mutex
	hooks   []func(task string)
)

// OnPanic registers a function that is called with the name of the task after each panic, for metrics.
func OnPanic(hook func(task string)) {
	hooksMu.Lock()
	defer hooksMu.Unlock()
	hooks = append(hooks, hook)
}

// record logs and counts a panic.
func record(task string, reason any) {
	klog.ErrorS(nil, "panic", "task", task, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
	hooksMu.Lock()
	defer hooksMu.Unlock()
	for _, hook := range hooks {
		hook(task)
	}
}

// IsAbort reports whether a recovered value only ends the response of a handler.
func IsAbort(reason any) bool {
	err, ok := reason.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// Run calls f and returns its error, or a *PanicError if it panics. http.ErrAbortHandler is passed on, because it only ends a response.
func Run(task string, f func() error) (err error) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		if IsAbort(reason) {
			panic(reason)
		}
		record(task, reason)
		err = merry.Wrap(&PanicError{task, reason})
	}()
	return f()
}

// Do calls f and returns after its end, also if it panics.
func Do(task string, f func()) {
	// Run has logged the error.
	_ = Run(task, func() error { f(); return nil })
}

// Loop calls f until it returns without a panic or ctx ends. It is meant for tasks whose state is sound after a panic.
func Loop(ctx context.Context, task string, f func()) {
	for pause := minPause; ctx.Err() == nil; pause = min(2*pause, maxPause) {
		if Run(task, func() error { f(); return nil }) == nil {
			return
		}
		monotonic.Sleep(ctx, pause)
	}
}

// Handler responds with 500 to requests whose handler panics.
func Handler(task string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := Run(task, func() error { next.ServeHTTP(w, r); return nil }); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}
