package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// API is the part of the administration API that almondctl uses. All methods return RefusedError or UnreachableError on failure.
type API interface {
	// Status returns the JSON object of GET /v1/status.
	Status(ctx context.Context) (json.RawMessage, error)
	// Explain returns the JSON object of GET /v1/explain.
	Explain(ctx context.Context, service, tenant, key string) (json.RawMessage, error)
	// Configuration returns the configuration in force, or nil if there is none yet (status 404).
	Configuration(ctx context.Context) (*schemav1.Configuration, error)
	// Plan returns what a submission would change.
	Plan(ctx context.Context, submission *schemav1.Submission) (*schemav1.Plan, error)
	// Submit submits a change. It may be retried with the same submission: all calls with one id get the same outcome.
	Submit(ctx context.Context, submission *schemav1.Submission) (*schemav1.SubmissionOutcome, error)
}

// maxResponseBytes limits the size of a response body. The files of a configuration are at most 1 MiB each.
const maxResponseBytes = 64 << 20

// Client implements API over HTTP.
type Client struct {
	address, scheme string
	http            *http.Client
}

// NewClient returns a client of the API at address, which is IP:PORT. It uses plain text if config is nil. Proxies set in the
// environment are ignored.
func NewClient(address string, config *tls.Config) *Client {
	client := &Client{address: address, scheme: "http", http: &http.Client{Transport: &http.Transport{Proxy: nil, TLSClientConfig: config}}}
	if config != nil {
		client.scheme = "https"
	}
	return client
}

// Status implements API.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	return c.getJSON(ctx, "/v1/status", nil)
}

// Explain implements API.
func (c *Client) Explain(ctx context.Context, service, tenant, key string) (json.RawMessage, error) {
	return c.getJSON(ctx, "/v1/explain", url.Values{"service": {service}, "tenant": {tenant}, "key": {key}})
}

// getJSON returns the body of a GET request, which must be valid JSON.
func (c *Client) getJSON(ctx context.Context, path string, query url.Values) (json.RawMessage, error) {
	status, body, err := c.send(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, c.responseError(status, body)
	}
	if !json.Valid(body) {
		return nil, c.unreachableError("the answer is not JSON")
	}
	return body, nil
}

// Configuration implements API.
func (c *Client) Configuration(ctx context.Context) (*schemav1.Configuration, error) {
	status, body, err := c.send(ctx, http.MethodGet, "/v1/configuration", nil, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, nil //nolint:nilnil // no revision is not a failure
	case status != http.StatusOK:
		return nil, c.responseError(status, body)
	}
	configuration := &schemav1.Configuration{}
	return configuration, c.decode(body, configuration)
}

// Plan implements API.
func (c *Client) Plan(ctx context.Context, submission *schemav1.Submission) (*schemav1.Plan, error) {
	status, body, err := c.send(ctx, http.MethodPost, "/v1/plan", nil, submission)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, c.responseError(status, body)
	}
	plan := &schemav1.Plan{}
	return plan, c.decode(body, plan)
}

// Submit implements API. The outcome of a conflict or refusal may have status 200, 409 or 422.
func (c *Client) Submit(ctx context.Context, submission *schemav1.Submission) (*schemav1.SubmissionOutcome, error) {
	status, body, err := c.send(ctx, http.MethodPost, "/v1/submit", nil, submission)
	if err != nil {
		return nil, err
	}
	outcome := &schemav1.SubmissionOutcome{}
	mayHaveOutcome := status == http.StatusOK || status == http.StatusConflict || status == http.StatusUnprocessableEntity
	isOutcome := mayHaveOutcome && c.decode(body, outcome) == nil &&
		outcome.GetVerdict() != schemav1.SubmissionOutcome_VERDICT_UNSPECIFIED && outcome.GetId() == submission.GetId()
	switch {
	case isOutcome:
		return outcome, nil
	case status == http.StatusOK:
		return nil, c.unreachableError("the answer is not about submission " + submission.GetId())
	default:
		return nil, c.responseError(status, body)
	}
}

// send sends a request with message as JSON, unless it is nil. It returns the status and the body of the response.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, message proto.Message) (int, []byte, error) {
	var body io.Reader
	if message != nil {
		encoded, err := protojson.Marshal(message)
		if err != nil {
			return 0, nil, merry.Wrap(&RefusedError{Reasons: []string{"the files can't be sent: " + err.Error()}})
		}
		body = bytes.NewReader(encoded)
	}
	target := url.URL{Scheme: c.scheme, Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), body)
	if err != nil {
		return 0, nil, c.unreachableError("the address is not usable")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, c.unreachableError(withoutURL(err))
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(content) > maxResponseBytes {
		return 0, nil, c.unreachableError("the answer is incomplete or too large")
	}
	return response.StatusCode, content, nil
}

// withoutURL returns the text of err without the URL that net/http adds, since the URL of an explain request contains the key.
func withoutURL(err error) string {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	return err.Error()
}

func (c *Client) unreachableError(reason string) error {
	return merry.WrapSkipping(&UnreachableError{Address: c.address, Reason: reason}, 1)
}

// responseError returns the error for a status other than 200: RefusedError for 4xx, else UnreachableError.
func (c *Client) responseError(status int, body []byte) error {
	reason := fmt.Sprintf("HTTP status %d", status)
	if refusal, ok := apierr.Parse(body); ok {
		reason = string(refusal.Code) + ": " + refusal.Message
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return merry.Wrap(&RefusedError{Reasons: []string{"refused by " + c.address + ": " + reason}})
	}
	return c.unreachableError(reason)
}

// decode decodes a JSON body. It ignores unknown fields, so that hosts can run a later release than almondctl.
func (c *Client) decode(body []byte, message proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, message); err != nil {
		return c.unreachableError("the answer is not a " + string(message.ProtoReflect().Descriptor().Name()))
	}
	return nil
}
