package exchanger

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"gentianbarrow.example/internal/retrier"
)

// Dialect names the headers that callers, nodes and targets use besides those
// of HTTP. An empty name is not spoken.
type Dialect struct {
	// RequestID names a request; answers carry it too.
	RequestID string
	// CallersName tells that callers name every request; one without a name is refused.
	RequireRequestID bool
	// Deadline carries the remaining time in milliseconds.
	Deadline string
	// Depth and Attempt are passed on by targets with their own calls.
	Depth, Attempt string
	// IdempotencyKey names a request, so that sending it again does not run it again.
	IdempotencyKey string
	// CallerService names the service on whose host a request began. The node sets it.
	CallerService string
	// ExpectTarget names the process that must run the request. The node sets it.
	ExpectTarget string
	// NotRun stands on the answer of a target that did not start the request, with
	// the value NotRunValue unless that is empty.
	NotRun, NotRunValue string
	// WrongTargetStatus is how a process answers that is not the expected one; 0 means that none does.
	WrongTargetStatus int
	// TargetID names a target's process in its answers.
	TargetID string
	// Signature stands on every answer that a target made; an answer without it was
	// not made by a target. Empty means that answers are not signed.
	Signature string
	// Told are the headers by which a node tells a caller what it knows of the outcome.
	Told bool
	// Status returns the status of an answer that the node gives in a target's place.
	Status func(a *Answer) int
	// RetryAfter returns the value of the header of that name.
	RetryAfter func(a *Answer, now time.Time) string
}

// shedRetried is the value of HeaderRetried on answers of nodes.
const shedRetried = "true"

// OwnDialect returns the dialect of this system's own interface.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Depth: HeaderDepth, Attempt: HeaderAttempt,
		IdempotencyKey: HeaderIdempotencyKey, NotRun: HeaderShed, NotRunValue: ShedNotRun,
		Told: true, Status: ownStatus, RetryAfter: wholeSeconds,
	}
}

func ownStatus(a *Answer) int {
	switch {
	case a.Outcome == retrier.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case a.Reason == ReasonNoRoute:
		return http.StatusNotFound
	case a.Reason == ReasonBadRequest:
		return http.StatusBadRequest
	case a.Reason == ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case a.Reason == ReasonKeyReused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func wholeSeconds(a *Answer, now time.Time) string {
	seconds := 1
	if !a.RetryAt.IsZero() {
		seconds = max(int((a.RetryAt.Sub(now)+time.Second-1)/time.Second), 1)
	}
	return strconv.Itoa(seconds)
}

// SaysNotRun tells that a target's answer says that it did not start the request.
func (d *Dialect) IsNotRun(status int, h http.Header) bool {
	if d.WrongTargetStatus != 0 && status == d.WrongTargetStatus {
		return true
	}
	value := h.Get(d.NotRun)
	return value != "" && (d.NotRunValue == "" || value == d.NotRunValue)
}

// Retried tells that a node has already decided on retries of the failure that an answer reports.
func (d *Dialect) IsRetryDecided(h http.Header) bool {
	return d.Told && h.Get(HeaderRetried) == shedRetried
}

// RetryAt reads when a target asks to be tried again; zero when it says nothing.
func (d *Dialect) ParseRetryAfter(h http.Header, now time.Time) time.Time {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > maxRetrySeconds {
		return time.Time{}
	}
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

// maxRetrySeconds bounds what a target may ask for.
const maxRetrySeconds = 3600

// EndToEnd copies the headers that pass on beyond one connection. It leaves
// out the headers that nodes set.
func (d *Dialect) EndToEndHeaders(h http.Header) http.Header {
	out := EndToEndHeaders(h)
	for _, name := range []string{d.RequestID, d.Deadline, d.CallerService, d.ExpectTarget} {
		if name != "" {
			delete(out, http.CanonicalHeaderKey(name))
		}
	}
	return out
}

// TimeLeft reads the caller's deadline. The second result is false when the header makes no sense.
func (d *Dialect) TimeLeft(h http.Header) (left time.Duration, stated, ok bool) {
	text := h.Get(d.Deadline)
	if text == "" {
		return 0, false, true
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 {
		return 0, true, false
	}
	return time.Duration(min(ms, maxLeftMs)) * time.Millisecond, true, true
}

// maxLeftMs bounds a caller's deadline, in milliseconds: a day.
const maxLeftMs = 24 * 60 * 60 * 1000
