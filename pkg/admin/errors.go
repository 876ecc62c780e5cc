package admin

import (
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/apierr"
)

// readAll reads a body. The limit is the server's middleware, whose error passes through.
func readAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		var limit *echo.HTTPError
		if errors.As(err, &limit) {
			return nil, apierr.New(apierr.BodyTooLarge, "the body is over %s bytes", maxBody)
		}
		return nil, apierr.New(apierr.BadRequest, "the body cannot be read")
	}
	return data, nil
}

// codes gives the errors of echo's router and middleware their codes.
var codes = map[int]apierr.Code{
	http.StatusNotFound:              apierr.NotFound,
	http.StatusMethodNotAllowed:      apierr.MethodNotAllowed,
	http.StatusRequestEntityTooLarge: apierr.BodyTooLarge,
}

// writeError answers every failure as a JSON refusal.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		code, ok := codes[routing.Code]
		if !ok {
			code = apierr.BadRequest
		}
		err = apierr.New(code, "%s %s: %s", c.Request().Method, c.Request().URL.Path, http.StatusText(routing.Code))
	}
	if apierr.From(err).Code == apierr.Internal {
		klog.ErrorS(err, "administration call failed", "method", c.Request().Method, "path", c.Path())
	}
	apierr.Write(c.Response(), "", err)
}
