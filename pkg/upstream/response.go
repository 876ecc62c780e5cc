package upstream

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// unsizedBody is the body of a response without a length. It is complete if the connection ends in order after the whole request was sent.
// The operating system reports an error of a connection, such as a reset, to one call only. If that is a write of the request, reads see an
// orderly end, but the request was not sent whole. Otherwise the read gets the error.
type unsizedBody struct {
	io.ReadCloser
	request *requestWriter
}

// Read implements io.Reader.
func (b *unsizedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.request.stop() {
		err = merry.Wrap(ErrRequestIncomplete)
	}
	return n, err
}
