package host

import (
	"net/http"
)

// adminHandler serves health and metrics.
func (h *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready := h.Ready()
		if !ready.OK {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(ready.String() + "\n"))
	})
	mux.Handle("GET /metrics", h.metrics.Handler)
	return mux
}
