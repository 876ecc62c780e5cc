package admin

import (
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

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

// writeError answers every failure as a JSON refusal.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		code := apierr.BadRequest
		if routing.Code == http.StatusRequestEntityTooLarge {
			code = apierr.BodyTooLarge
		}
		body := apierr.Body{Code: code, Ran: apierr.NotRun, Message: http.StatusText(routing.Code)}
		// The caller may be gone; there is nobody left to tell.
		_ = c.JSON(routing.Code, body)
		return
	}
	apierr.Write(c.Response(), "", err)
}
