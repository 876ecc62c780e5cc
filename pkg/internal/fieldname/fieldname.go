// Package fieldname checks the names of the fields of HTTP responses, in which the parser of net/http allows blanks. Such a line may be one that
// the server meant as another field, for example a length with a blank before the colon.
package fieldname

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// InvalidError reports a message that is no response in HTTP: it has a field whose name is not a token (RFC 9110, section 5.1). The server may
// have run the request.
type InvalidError struct{ Name string }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("response has a field with the name %q", e.Name)
}

// Check returns an *InvalidError if a name of a field is not valid.
func Check(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidError{Name: name}
		}
	}
	return nil
}

// CheckResponse is Check for the header and the announced trailers of a response. Reads of its body return the error if the trailers have such
// a field.
func CheckResponse(response *http.Response) error {
	if err := Check(response.Header); err != nil {
		return err
	}
	if err := Check(response.Trailer); err != nil {
		return err
	}
	if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response}
	}
	return nil
}

// trailedBody is a body that trailers may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// The trailers have been read with the end of the body.
		if invalid := Check(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
