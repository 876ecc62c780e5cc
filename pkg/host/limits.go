package host

import (
	"math"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"

	"almondrock.example/almondrock/pkg/httpserver"
	"almondrock.example/almondrock/pkg/memory"
	"almondrock.example/almondrock/pkg/proxy"
)

// Parts of the descriptors of the process, in sixteenths, that the connections of each listener may take. What is left is for connections to
// targets and other hosts, and for files.
const (
	callerShare    = 8
	forwardedShare = 4
	adminShare     = 1
)

// processBudget returns the budget of the process, which all its hosts share. It is derived from the memory limit of the Go runtime
// (GOMEMLIMIT); there is none without that limit.
var processBudget = sync.OnceValue(func() *memory.Budget {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return nil
	}
	return memory.New(memory.Limit(limit))
})

// descriptorLimit returns the number of descriptors that the process may open; 0 when it is not known.
var descriptorLimit = sync.OnceValue(func() int64 {
	limit := syscall.Rlimit{}
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int64(limit.Cur)
})

// newHTTPServer returns a server for callers, other hosts or operators.
func (h *Host) newHTTPServer(handler http.Handler, sixteenths int64) *httpserver.Server {
	return proxy.NewServer(httpserver.Options{
		Handler: handler, MaxConnections: int(descriptorLimit() * sixteenths / 16), Budget: processBudget(), OnRefuse: h.metrics.RecordRefusal,
	})
}
