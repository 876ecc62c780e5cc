package admin

import (
	"context"
	"net/http"
	"net/http/pprof"
	runtimepprof "runtime/pprof"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxBody bounds submissions: files of at most 1 MiB each, in base64.
const maxBody = "64M"

// Backend is what the API shows and changes; the host implements it. Errors are apierr refusals.
type Backend interface {
	// Ready reports whether callers should be sent here, and the reasons if not.
	Ready() (ok bool, reasons string)
	// Status collects the state of the deployment.
	Status(ctx context.Context) (*schemav1.StatusReport, error)
	// Explain tells who owns a key and why. It refuses keys whose home regions exclude this host's.
	Explain(ctx context.Context, service, tenant, key string) (*schemav1.Explanation, error)
	// Configuration is the revision in force here; nil before the first.
	Configuration() *schemav1.Configuration
	// Plan tells what a submission would change.
	Plan(ctx context.Context, submission *schemav1.Submission) (*schemav1.Plan, error)
	// Submit commits a submission; a resend gets the first outcome.
	Submit(ctx context.Context, submission *schemav1.Submission) (*schemav1.SubmissionOutcome, error)
}

// NewHandler returns the handler of the administration address. metrics serves /metrics.
func NewHandler(backend Backend, metrics http.Handler, access AccessPolicy) http.Handler {
	server := echo.New()
	server.HideBanner, server.HidePort = true, true
	server.HTTPErrorHandler = writeError
	server.Use(access.check, middleware.BodyLimit(maxBody))
	api := &api{backend: backend}
	server.GET(pathHealth, api.health)
	server.GET(pathReady, api.ready)
	server.GET("/metrics", echo.WrapHandler(metrics))
	server.GET("/v1/status", api.status)
	server.GET("/v1/explain", api.explain)
	server.GET("/v1/configuration", api.configuration)
	server.POST("/v1/plan", api.plan)
	server.POST(pathSubmit, api.submit)
	profiles := server.Group("/debug/pprof")
	profiles.GET("/", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	profiles.GET("/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	profiles.GET("/trace", echo.WrapHandler(http.HandlerFunc(pprof.Trace)))
	profiles.GET("/:name", profile)
	return server
}

// profile serves the profiles that the runtime keeps, such as heap and goroutine.
func profile(c echo.Context) error {
	name := c.Param("name")
	if runtimepprof.Lookup(name) == nil {
		return apierr.New(apierr.NotFound, "no profile has this name")
	}
	pprof.Handler(name).ServeHTTP(c.Response(), c.Request())
	return nil
}

type api struct {
	backend Backend
}

func (a *api) health(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (a *api) ready(c echo.Context) error {
	ok, reasons := a.backend.Ready()
	if !ok {
		return c.String(http.StatusServiceUnavailable, reasons+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (a *api) status(c echo.Context) error {
	report, err := a.backend.Status(c.Request().Context())
	return answer(c, http.StatusOK, report, err)
}

func (a *api) explain(c echo.Context) error {
	explanation, err := a.backend.Explain(c.Request().Context(), c.QueryParam("service"), c.QueryParam("tenant"), c.QueryParam("key"))
	return answer(c, http.StatusOK, explanation, err)
}

func (a *api) configuration(c echo.Context) error {
	configuration := a.backend.Configuration()
	if configuration == nil {
		return apierr.New(apierr.NotFound, "no revision is in force on this host yet")
	}
	return answer(c, http.StatusOK, configuration, nil)
}

func (a *api) plan(c echo.Context) error {
	submission, err := readSubmission(c)
	if err != nil {
		return err
	}
	plan, err := a.backend.Plan(c.Request().Context(), submission)
	return answer(c, http.StatusOK, plan, err)
}

// submit answers 200 for an accepted submission, 409 for a conflict and 422 for refused files.
func (a *api) submit(c echo.Context) error {
	submission, err := readSubmission(c)
	if err != nil {
		return err
	}
	if submission.GetId() == "" {
		return apierr.New(apierr.BadRequest, "the submission has no id")
	}
	if operator, ok := c.Get(operatorKey).(string); ok {
		// The certificate says who submits; the body may say anything.
		submission.Operator = operator
	}
	outcome, err := a.backend.Submit(c.Request().Context(), submission)
	status := http.StatusOK
	switch outcome.GetVerdict() {
	case schemav1.SubmissionOutcome_VERDICT_CONFLICT:
		status = http.StatusConflict
	case schemav1.SubmissionOutcome_VERDICT_REFUSED:
		status = http.StatusUnprocessableEntity
	}
	return answer(c, status, outcome, err)
}

func readSubmission(c echo.Context) (*schemav1.Submission, error) {
	body := c.Request().Body
	defer body.Close()
	data, err := readAll(body)
	if err != nil {
		return nil, err
	}
	submission := &schemav1.Submission{}
	if err := protojson.Unmarshal(data, submission); err != nil {
		return nil, apierr.New(apierr.BadRequest, "the body is not a submission: %v", err)
	}
	return submission, nil
}

func answer(c echo.Context, status int, message proto.Message, err error) error {
	if err != nil {
		return err
	}
	data, err := protojson.MarshalOptions{EmitDefaultValues: true}.Marshal(message)
	if err != nil {
		return err
	}
	return c.JSONBlob(status, data)
}
