package host_test

import (
	"bytes"
	"encoding/base64"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	"k8s.io/klog/v2"
)

// logOutput collects the log output of the whole suite.
var logOutput lockedBuffer

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns the log output so far.
func (b *lockedBuffer) String() string {
	klog.Flush()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

var _ = BeforeSuite(func() {
	klog.LogToStderr(false)
	klog.SetOutput(&logOutput)
})

func encodeBase64(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }
