package httpserver

import (
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// refusalLogInterval is the time in which the refusals of one reason make one log line.
const refusalLogInterval = time.Second

// maxLoggedError is how many bytes of an error are logged.
const maxLoggedError = 300

// refusalLog writes at most one log line for each reason in refusalLogInterval, with the number of refusals since the previous one.
type refusalLog struct {
	mu      sync.Mutex
	pending map[string]*pendingRefusals
}

type pendingRefusals struct {
	count  int
	caller string
	err    string
}

// record counts a refusal. The first one of a reason is logged after refusalLogInterval, with all that follow until then. caller and err are
// those of the first one.
func (l *refusalLog) record(reason, caller string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.pending[reason]; ok {
		p.count++
		return
	}
	if l.pending == nil {
		l.pending = map[string]*pendingRefusals{}
	}
	text := ""
	if err != nil {
		// The text may quote the request.
		text = err.Error()
		text = strings.Clone(text[:min(len(text), maxLoggedError)])
	}
	l.pending[reason] = &pendingRefusals{1, caller, text}
	time.AfterFunc(refusalLogInterval, func() {
		l.mu.Lock()
		p := l.pending[reason]
		delete(l.pending, reason)
		l.mu.Unlock()
		klog.InfoS("callers refused", "reason", reason, "count", p.count, "firstCaller", p.caller, "firstErr", p.err)
	})
}

// refused counts and reports a refusal.
func (s *Server) refused(reason, caller string, err error) {
	s.refusals.record(reason, caller, err)
	if s.options.OnRefuse != nil {
		s.options.OnRefuse(reason)
	}
}
