package exchanger

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"gentianbarrow.example/internal/retrier"
)

// Dialect describes the HTTP interface between callers, nodes and targets: the
// names of its headers, and its status codes. A header with an empty name is not
// used.
type Dialect struct {
	// RequestID carries the id of a request; answers carry it too.
	RequestID string
	// RequireRequestID is set if a request without a valid RequestID is refused.
	RequireRequestID bool
	// Deadline carries the remaining time in milliseconds.
	Deadline string
	// Depth and Attempt are copied by targets to the calls that they make themselves.
	Depth, Attempt string
	// IdempotencyKey identifies a request, so that sending it again does not run it again.
	IdempotencyKey string
	// CallerService carries the service on whose host a request began. The node sets it.
	CallerService string
	// AccessKey carries a caller's access key behind AccessKeyScheme and a space. Firm
	// carries the firm that holds it. The node sets Firm, and sends the key to no target.
	// Neither is touched under a configuration without firms.
	AccessKey, AccessKeyScheme, Firm string
	// ExpectTarget carries the id of the process that must run the request. The node sets it.
	ExpectTarget string
	// NotRun marks the answer of a target that did not start the request. Its value
	// is NotRunValue, or any when that is empty.
	NotRun, NotRunValue string
	// WrongTargetStatus is the status by which a process answers that is not the
	// expected one; 0 means that processes do not check.
	WrongTargetStatus int
	// TargetID carries the id of the target's process in its answers.
	TargetID string
	// Signature is present on every answer that a target made. An answer without it
	// was made by something else. Empty means that answers are not signed.
	Signature string
	// ReadTargetReport returns what the headers of an answer say of the target's process;
	// nil means that targets report nothing in answers.
	ReadTargetReport func(h http.Header) TargetReport
	// ReportsOutcome is set if nodes add headers that report the outcome to callers.
	ReportsOutcome bool
	// Status returns the HTTP status of an answer that a node gives in place of a target.
	Status func(a *Answer) int
	// RetryAfter returns the value of the header Retry-After; empty means no header.
	RetryAfter func(a *Answer, now time.Time) string
}

// retriedValue is the value of HeaderRetried on answers that nodes give.
const retriedValue = "true"

// DefaultDialect returns the dialect of this system's own interface.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Depth: HeaderDepth, Attempt: HeaderAttempt,
		IdempotencyKey: HeaderIdempotencyKey, NotRun: HeaderShed, NotRunValue: ShedNotRun,
		AccessKey: "Authorization", AccessKeyScheme: "Bearer", Firm: HeaderFirm,
		ReportsOutcome: true, Status: defaultStatus, RetryAfter: retryAfterSeconds,
	}
}

func defaultStatus(a *Answer) int {
	switch {
	case a.Outcome == retrier.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case a.Reason == ReasonNoRoute:
		return http.StatusNotFound
	case a.Reason == ReasonBadRequest:
		return http.StatusBadRequest
	case a.Reason == ReasonAccessKeyUnknown:
		return http.StatusUnauthorized
	case a.Reason == ReasonOverLimit:
		return http.StatusTooManyRequests
	case a.Reason == ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case a.Reason == ReasonKeyReused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func retryAfterSeconds(a *Answer, now time.Time) string {
	if a.Reason == ReasonAccessKeyUnknown {
		return ""
	}
	seconds := 1
	if !a.RetryAt.IsZero() {
		seconds = max(int((a.RetryAt.Sub(now)+time.Second-1)/time.Second), 1)
	}
	return strconv.Itoa(seconds)
}

// IsNotRun reports whether a target's answer states that it did not start the request.
func (d *Dialect) IsNotRun(status int, h http.Header) bool {
	if d.WrongTargetStatus != 0 && status == d.WrongTargetStatus {
		return true
	}
	value := h.Get(d.NotRun)
	return value != "" && (d.NotRunValue == "" || value == d.NotRunValue)
}

// TargetReport returns what the headers of an answer say of the target's process, or
// nil if targets report nothing in answers.
func (d *Dialect) TargetReport(h http.Header) *TargetReport {
	if d.ReadTargetReport == nil {
		return nil
	}
	report := d.ReadTargetReport(h)
	return &report
}

// IsRetryDecided reports whether a node has already decided on retries of the
// failure that an answer reports.
func (d *Dialect) IsRetryDecided(h http.Header) bool {
	return d.ReportsOutcome && h.Get(HeaderRetried) == retriedValue
}

// ParseRetryAfter returns when a target asks to be tried again; zero when its
// answer has no valid Retry-After.
func (d *Dialect) ParseRetryAfter(h http.Header, now time.Time) time.Time {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > maxRetrySeconds {
		return time.Time{}
	}
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

// maxRetrySeconds is the longest Retry-After that is accepted from a target.
const maxRetrySeconds = 3600

// EndToEndHeaders returns a copy of the headers without those of a single
// connection and without those that nodes set themselves.
func (d *Dialect) EndToEndHeaders(h http.Header) http.Header {
	out := EndToEndHeaders(h)
	for _, name := range []string{d.RequestID, d.Deadline, d.CallerService, d.ExpectTarget} {
		if name != "" {
			delete(out, http.CanonicalHeaderKey(name))
		}
	}
	return out
}

// ParseTimeLeft returns the time until the caller's deadline. isSet is false when
// the caller states none; ok is false when the header is malformed.
func (d *Dialect) ParseTimeLeft(h http.Header) (left time.Duration, isSet, ok bool) {
	text := h.Get(d.Deadline)
	if text == "" {
		return 0, false, true
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 {
		return 0, true, false
	}
	return time.Duration(min(ms, maxTimeLeftMs)) * time.Millisecond, true, true
}

// maxTimeLeftMs bounds the time to a caller's deadline, in milliseconds: one day.
const maxTimeLeftMs = 24 * 60 * 60 * 1000
