package admin

import (
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/apierr"
)

// readAll reads a request body. The body limit middleware makes reads of a body that is too large fail with an
// echo.HTTPError, which becomes the refusal BodyTooLarge.
func readAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		var limitErr *echo.HTTPError
		if errors.As(err, &limitErr) {
			return nil, apierr.New(apierr.BodyTooLarge, "the body is over %s bytes", maxBody)
		}
		return nil, apierr.New(apierr.BadRequest, "the body cannot be read")
	}
	return data, nil
}

// refusalCodes maps the HTTP statuses of errors of echo's router and middleware to refusal codes.
var refusalCodes = map[int]apierr.Code{
	http.StatusNotFound:              apierr.NotFound,
	http.StatusMethodNotAllowed:      apierr.MethodNotAllowed,
	http.StatusRequestEntityTooLarge: apierr.BodyTooLarge,
}

// writeError is echo's error handler. It sends every error as a JSON refusal, and logs internal errors, whose text the
// client doesn't get.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		code, ok := refusalCodes[httpErr.Code]
		if !ok {
			code = apierr.BadRequest
		}
		err = apierr.New(code, "%s %s: %s", c.Request().Method, c.Request().URL.Path, http.StatusText(httpErr.Code))
	}
	if apierr.From(err).Code == apierr.Internal {
		klog.ErrorS(err, "request to the administration API failed", "method", c.Request().Method, "path", c.Path())
	}
	apierr.Write(c.Response(), "", err)
}
