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

// API is the administration API as almondctl uses it. All calls fail with RefusedError or UnreachableError.
type API interface {
	// Status returns the JSON object of GET /v1/status.
	Status(ctx context.Context) (json.RawMessage, error)
	// Explain returns the JSON object of GET /v1/explain.
	Explain(ctx context.Context, service, tenant, key string) (json.RawMessage, error)
	// Configuration returns the revision in force, or nil before the first one (404).
	Configuration(ctx context.Context) (*schemav1.Configuration, error)
	// Plan tells what a submission would change.
	Plan(ctx context.Context, submission *schemav1.Submission) (*schemav1.Plan, error)
	// Submit may be repeated with the same submission: the first answer to an id is the only one.
	Submit(ctx context.Context, submission *schemav1.Submission) (*schemav1.SubmissionOutcome, error)
}

// maxAnswerBytes bounds an answer; the files of a configuration are at most 1 MiB each.
const maxAnswerBytes = 64 << 20

// Client is the API over HTTP.
type Client struct {
	address, scheme string
	http            *http.Client
}

// NewClient returns a client of the API at address, IP:PORT, in plain text when config is nil. Proxies of the
// environment are not used.
func NewClient(address string, config *tls.Config) *Client {
	client := &Client{address: address, scheme: "http", http: &http.Client{Transport: &http.Transport{Proxy: nil, TLSClientConfig: config}}}
	if config != nil {
		client.scheme = "https"
	}
	return client
}

// Status implements API.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	return c.object(ctx, "/v1/status", nil)
}

// Explain implements API.
func (c *Client) Explain(ctx context.Context, service, tenant, key string) (json.RawMessage, error) {
	return c.object(ctx, "/v1/explain", url.Values{"service": {service}, "tenant": {tenant}, "key": {key}})
}

func (c *Client) object(ctx context.Context, path string, query url.Values) (json.RawMessage, error) {
	status, body, err := c.send(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, c.refusal(status, body)
	}
	if !json.Valid(body) {
		return nil, c.unreachable("the answer is not JSON")
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
		return nil, c.refusal(status, body)
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
		return nil, c.refusal(status, body)
	}
	plan := &schemav1.Plan{}
	return plan, c.decode(body, plan)
}

// Submit implements API. A conflict or refusal may come with status 200, 409 or 422.
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
		return nil, c.unreachable("the answer is not about submission " + submission.GetId())
	default:
		return nil, c.refusal(status, body)
	}
}

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
		return 0, nil, c.unreachable("the address is not usable")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, c.unreachable(withoutURL(err))
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(content) > maxAnswerBytes {
		return 0, nil, c.unreachable("the answer is incomplete or too large")
	}
	return response.StatusCode, content, nil
}

// withoutURL drops the URL that net/http adds to errors, since it has the key that is explained.
func withoutURL(err error) string {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	return err.Error()
}

func (c *Client) unreachable(reason string) error {
	return merry.WrapSkipping(&UnreachableError{Address: c.address, Reason: reason}, 1)
}

// refusal turns a status other than 200 into an error: the request is wrong (4xx), or the API can't answer now.
func (c *Client) refusal(status int, body []byte) error {
	reason := fmt.Sprintf("HTTP status %d", status)
	if refusal, ok := apierr.Parse(body); ok {
		reason = string(refusal.Code) + ": " + refusal.Message
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return merry.Wrap(&RefusedError{Reasons: []string{"refused by " + c.address + ": " + reason}})
	}
	return c.unreachable(reason)
}

// decode accepts fields that it doesn't know, so that hosts can be of a later release than the tool.
func (c *Client) decode(body []byte, message proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, message); err != nil {
		return c.unreachable("the answer is not a " + string(message.ProtoReflect().Descriptor().Name()))
	}
	return nil
}
