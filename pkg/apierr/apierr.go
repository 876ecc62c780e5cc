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

// Code is the stable name of the reason for a refusal, which callers' programs compare.
type Code string

// Codes of refusals of callers' requests.
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

// Codes that only the administration API uses.
const (
	NotFound         Code = "not-found"
	MethodNotAllowed Code = "method-not-allowed"
	Forbidden        Code = "forbidden"
)

// RunStatus says whether the target ran a refused request.
type RunStatus string

// Values of RunStatus. NotRun is a guarantee; with RunUnknown, the target may or may not have run the request.
const (
	NotRun     RunStatus = "not-run"
	RunUnknown RunStatus = "unknown"
	DidRun     RunStatus = "ran"
)

var httpStatuses = map[Code]int{
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

// Refusal is the error for a refused request.
type Refusal struct {
	// Code is the reason; it determines the HTTP status.
	Code Code
	// Ran says whether the target ran the request.
	Ran RunStatus
	// Message is the reason in words. It never contains a key's name, which is tenant data.
	Message string
	// RetryAfter is the time after which a retry may succeed; zero when waiting does not help.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Ran, r.Message)
}

// Status returns the HTTP status of the refusal, 500 for an unknown code.
func (r *Refusal) Status() int {
	if status, ok := httpStatuses[r.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// New returns a Refusal of a request that was not run, wrapped as by Wrap.
func New(code Code, format string, args ...any) error {
	return Wrap(&Refusal{Code: code, Ran: NotRun, Message: fmt.Sprintf(format, args...)})
}

// Wrap returns refusal as a merry error with a stack trace and the HTTP status.
func Wrap(refusal *Refusal) error {
	return merry.WrapSkipping(refusal, 1, merry.WithHTTPCode(refusal.Status()))
}

// From returns the refusal in err's chain. For any other error it returns one with the codes Internal and RunUnknown,
// because nothing is known about how far the request got.
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

// retryAfterSeconds returns RetryAfter rounded up, because the Retry-After header has whole seconds.
func (r *Refusal) retryAfterSeconds() int {
	return int(math.Ceil(r.RetryAfter.Seconds()))
}

// Write sends err as an HTTP response with a JSON body, and with a Retry-After header if a retry may succeed later.
// Errors that are not a Refusal are sent as internal errors, without their text.
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
	// Encoding fails only when the caller has closed the connection, and then nobody is left to report the error to.
	_ = json.NewEncoder(w).Encode(body)
}

// Parse decodes a JSON refusal that another host wrote. It returns false when data is not a refusal.
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
