package fieldname

import (
	"net/http"
	"testing"
)

// BenchmarkCheck measures the check of the fields that responses of the platform have.
func BenchmarkCheck(b *testing.B) {
	fields := http.Header{}
	for _, name := range []string{"Request-Id", "Response-Signature", "Server-Load", "Content-Type", "Content-Length", "Cache-Control", "Date", "Keep-Alive", "Connection"} {
		fields[name] = []string{"v"}
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := Check(fields); err != nil {
			b.Fatal(err)
		}
	}
}
