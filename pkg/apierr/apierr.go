package apierr

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// Code is the stable name of a refusal.
type Code string

// Codes of refusals on the data path.
const (
	MissingKey          Code = "missing-key"
	BadRequest          Code = "bad-request"
	UnknownService      Code = "unknown-service"
	UnknownTenant       Code = "unknown-tenant"
	WrongRegion         Code = "wrong-region"
	HeaderTooLarge      Code = "header-too-large"
	BodyTooLarge        Code = "body-too-large"
	OwnerUnreachable    Code = "owner-unreachable"
	NoOwner             Code = "no-owner"
	Moving              Code = "moving"
	Overloaded          Code = "overloaded"
	DeadlineExceeded    Code = "deadline"
	TenantLimit         Code = "tenant-limit"
	RecordStoreFull     Code = "record-store-full"
	OutcomeUnknown      Code = "outcome-unknown"
	IdempotencyMismatch Code = "idempotency-mismatch"
	InProgress          Code = "in-progress"
	BadResponse         Code = "bad-answer"
	Draining            Code = "draining"
	LoopDetected        Code = "loop"
	ResponseNotStored   Code = "answer-not-kept"
	Internal            Code = "internal"
)

// Codes of refusals by the administration API only.
const (
	NotFound         Code = "not-found"
	MethodNotAllowed Code = "method-not-allowed"
	Forbidden        Code = "forbidden"
)

// RunStatus tells whether the target may have run the request.
type RunStatus string

// The three states of a refused request. NotRun is a promise; Unknown makes none.
const (
	NotRun     RunStatus = "not-run"
	RunUnknown RunStatus = "unknown"
	DidRun     RunStatus = "ran"
)

var statuses = map[Code]int{
	MissingKey:          http.StatusBadRequest,
	BadRequest:          http.StatusBadRequest,
	UnknownService:      http.StatusNotFound,
	UnknownTenant:       http.StatusForbidden,
	WrongRegion:         http.StatusMisdirectedRequest,
	HeaderTooLarge:      http.StatusRequestHeaderFieldsTooLarge,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	OwnerUnreachable:    http.StatusServiceUnavailable,
	NoOwner:             http.StatusServiceUnavailable,
	Moving:              http.StatusServiceUnavailable,
	Overloaded:          http.StatusServiceUnavailable,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	TenantLimit:         http.StatusTooManyRequests,
	RecordStoreFull:     http.StatusServiceUnavailable,
	OutcomeUnknown:      http.StatusGatewayTimeout,
	IdempotencyMismatch: http.StatusUnprocessableEntity,
	InProgress:          http.StatusConflict,
	BadResponse:         http.StatusBadGateway,
	Draining:            http.StatusServiceUnavailable,
	LoopDetected:        http.StatusLoopDetected,
	ResponseNotStored:   http.StatusConflict,
	Internal:            http.StatusInternalServerError,
	NotFound:            http.StatusNotFound,
	MethodNotAllowed:    http.StatusMethodNotAllowed,
	Forbidden:           http.StatusForbidden,
}

// Refusal is the typed error behind every refusal.
type Refusal struct {
	// Code names the reason.
	Code Code
	// Ran tells whether the target may have run the request.
	Ran RunStatus
	// Message explains the reason to a person. It never contains a key's name.
	Message string
	// RetryAfter is when a retry may help; zero when waiting does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Ran, r.Message)
}

// Status is the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := statuses[r.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// New returns a refusal of a request that was not run. The error carries a stack and the HTTP status for merry.
func New(code Code, format string, args ...any) error {
	return Wrap(&Refusal{Code: code, Ran: NotRun, Message: fmt.Sprintf(format, args...)})
}

// Wrap attaches a stack and the HTTP status to refusal.
func Wrap(refusal *Refusal) error {
	return merry.WrapSkipping(refusal, 1, merry.WithHTTPCode(refusal.Status()))
}

// From returns the refusal in err's chain. Any other error becomes Internal with an unknown outcome, because nothing
// is known about how far the request got.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Code: Internal, Ran: RunUnknown, Message: "internal error"}
}

// Body is the JSON body of a refusal.
type Body struct {
	Code              Code      `json:"code"`
	Ran               RunStatus `json:"ran"`
	Message           string    `json:"message"`
	RequestID         string    `json:"requestId"`
	RetryAfterSeconds int       `json:"retryAfterSeconds,omitempty"`
}

// retryAfterSeconds rounds up, because Retry-After has whole seconds.
func (r *Refusal) retryAfterSeconds() int {
	return int(math.Ceil(r.RetryAfter.Seconds()))
}

// Write sends err as a JSON refusal with Retry-After where waiting helps.
func Write(w http.ResponseWriter, requestID string, err error) {
	refusal := From(err)
	body := Body{
		Code:              refusal.Code,
		Ran:               refusal.Ran,
		Message:           refusal.Message,
		RequestID:         requestID,
		RetryAfterSeconds: refusal.retryAfterSeconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	if body.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(body.RetryAfterSeconds))
	}
	w.WriteHeader(refusal.Status())
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// Parse reads a JSON refusal that another host wrote. It reports false when the body is not a refusal.
func Parse(data []byte) (*Refusal, bool) {
	var body Body
	if err := json.Unmarshal(data, &body); err != nil || body.Code == "" {
		return nil, false
	}
	return &Refusal{
		Code:       body.Code,
		Ran:        body.Ran,
		Message:    body.Message,
		RetryAfter: time.Duration(body.RetryAfterSeconds) * time.Second,
	}, true
}
