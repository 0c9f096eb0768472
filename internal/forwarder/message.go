package forwarder

import (
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/validator"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	maxRequestIDBytes = 128
	// maxDeadlineAhead bounds how far in the future a deadline may be.
	maxDeadlineAhead = 24 * time.Hour
)

func encodeRequest(r *exchanger.Request) *wirepb.ForwardRequest {
	return &wirepb.ForwardRequest{
		RequestId: r.ID, Method: r.Method, Path: r.Path, Host: r.Host,
		Headers: encodeHeaders(r.Header),
		Service: r.Service, Route: r.Route, Firm: r.Firm, Class: string(r.Class),
		Idempotent:     r.Idempotent,
		RemainingMicro: remainingMicros(r.Deadline),
		Depth:          uint32(r.Depth), Attempt: uint32(r.Attempt), RetriedAbove: r.RetriedAbove,
		IdempotencyKey: r.IdempotencyKey, Recall: r.LookupOnly,
		ContentLength: r.ContentLength, ConfigVersion: r.ConfigVersion,
		CallerService: r.CallerService, Priority: uint32(r.Priority), AimMicro: softDeadlineMicros(r), NoWait: r.NoWait,
		HoldsBody: holdsBody(r), Leaving: encodeProcess(r.Leaving), AbortMicro: abortMicros(r), IsCall: r.IsCall,
		FirmRate: uint32(r.FirmRate), WaitPastAim: r.WaitPastSoftDeadline,
	}
}

// abortMicros returns the time until the exchange is aborted in microseconds, or 0 if that
// is at the deadline.
func abortMicros(r *exchanger.Request) int64 {
	if !r.AbortAt.After(r.Deadline) {
		return 0
	}
	return remainingMicros(r.AbortAt)
}

// abortAfter returns the time until the exchange of a received request is aborted, counted
// from the moment at which it is read: its age may have been taken for too great.
func abortAfter(m *wirepb.ForwardRequest) time.Duration {
	return time.Duration(min(max(m.GetAbortMicro(), m.GetRemainingMicro()), maxDeadlineAhead.Microseconds())) * time.Microsecond
}

func encodeProcess(p *exchanger.TargetProcess) *wirepb.TargetProcess {
	if p == nil {
		return nil
	}
	return &wirepb.TargetProcess{Id: p.ID, Started: p.Started}
}

func decodeProcess(m *wirepb.TargetProcess) *exchanger.TargetProcess {
	if m == nil {
		return nil
	}
	return &exchanger.TargetProcess{ID: m.GetId(), Started: m.GetStarted()}
}

// softDeadlineMicros returns the time until the soft deadline in microseconds. It is at least 1 if
// there is a soft deadline, and 0 if there is none.
func softDeadlineMicros(r *exchanger.Request) int64 {
	if r.SoftDeadline.IsZero() {
		return 0
	}
	return max(remainingMicros(r.SoftDeadline), 1)
}

func decodeRequest(m *wirepb.ForwardRequest, now time.Time) (*exchanger.Request, error) {
	if field := invalidField(m); field != "" {
		return nil, &InvalidFieldError{Field: field}
	}
	r := &exchanger.Request{
		ID: m.GetRequestId(), Method: m.GetMethod(), Path: m.GetPath(), Host: m.GetHost(),
		Header:  decodeHeaders(m.GetHeaders()),
		Service: m.GetService(), Route: m.GetRoute(), Firm: m.GetFirm(), Class: snapshotter.Class(m.GetClass()),
		Idempotent: m.GetIdempotent(),
		Deadline:   now.Add(time.Duration(m.GetRemainingMicro()) * time.Microsecond),
		Depth:      int(m.GetDepth()), Attempt: int(m.GetAttempt()), RetriedAbove: m.GetRetriedAbove(),
		IdempotencyKey: m.GetIdempotencyKey(), LookupOnly: m.GetRecall(),
		ContentLength: m.GetContentLength(), ConfigVersion: m.GetConfigVersion(),
		CallerService: m.GetCallerService(), Priority: int(m.GetPriority()), NoWait: m.GetNoWait(),
		Leaving: decodeProcess(m.GetLeaving()), IsCall: m.GetIsCall(),
		FirmRate: int(m.GetFirmRate()), WaitPastSoftDeadline: m.GetWaitPastAim(),
	}
	if micros := m.GetAimMicro(); micros > 0 {
		r.SoftDeadline = now.Add(time.Duration(min(micros, maxDeadlineAhead.Microseconds())) * time.Microsecond)
	}
	return r, nil
}

// invalidField returns the name of the first field with a value that no node sends, or "" if all are valid.
func invalidField(m *wirepb.ForwardRequest) string {
	classes := []snapshotter.Class{snapshotter.ClassUrgent, snapshotter.ClassShort, snapshotter.ClassBulk}
	switch {
	case m.GetRequestId() == "" || len(m.GetRequestId()) > maxRequestIDBytes:
		return "request_id"
	case !isValidMethod(m.GetMethod()):
		return "method"
	case !strings.HasPrefix(m.GetPath(), "/"):
		return "path"
	case m.GetService() == "":
		return "service"
	case !slices.Contains(classes, snapshotter.Class(m.GetClass())):
		return "class"
	case m.GetRemainingMicro() < 0 || m.GetRemainingMicro() > maxDeadlineAhead.Microseconds():
		return "remaining_micro"
	case m.GetDepth() < 1 || m.GetDepth() > exchanger.MaxDepth:
		return "depth"
	case m.GetAttempt() < 1 || m.GetAttempt() > math.MaxInt16:
		return "attempt"
	case m.GetContentLength() < -1:
		return "content_length"
	case m.GetPriority() > math.MaxInt16:
		return "priority"
	default:
		return ""
	}
}

func isValidMethod(method string) bool {
	if method == "" {
		return false
	}
	for _, c := range method {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return true
}

func encodeHeaders(h http.Header) []*wirepb.Header {
	out := make([]*wirepb.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			out = append(out, &wirepb.Header{Name: name, Value: []byte(value)})
		}
	}
	return out
}

func decodeHeaders(list []*wirepb.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out.Add(h.GetName(), string(h.GetValue()))
	}
	return out
}

func encodeAnswer(r *exchanger.Request, a *exchanger.Answer, incarnation uint64) *wirepb.ForwardResponse {
	m := &wirepb.ForwardResponse{
		RequestId: r.ID, Outcome: string(a.Outcome), Reason: string(a.Reason), Target: a.TargetHost,
		Leaving: encodeProcess(a.Leaving),
	}
	if !a.RetryAt.IsZero() {
		m.RetryAfterMicro = remainingMicros(a.RetryAt)
	}
	if a.Load != nil {
		m.Load = encoder.EncodeLoad(*a.Load, incarnation)
	}
	if a.Outcome == retrier.OutcomeDone {
		m.Status = int32(a.Status)
		m.Headers = encodeHeaders(a.Header)
		m.ContentLength = a.ContentLength
	}
	return m
}

// malformedAnswerError reports an answer with a field value that no node sends.
type malformedAnswerError struct{ InvalidFieldError }

func decodeAnswer(m *wirepb.ForwardResponse, now time.Time) (*exchanger.Answer, error) {
	a := &exchanger.Answer{
		Outcome: retrier.Outcome(m.GetOutcome()), Reason: exchanger.Reason(m.GetReason()),
		TargetHost: m.GetTarget(), Load: encoder.DecodeLoad(m.GetLoad()),
		Leaving: decodeProcess(m.GetLeaving()),
	}
	if micros := m.GetRetryAfterMicro(); micros > 0 && micros < maxDeadlineAhead.Microseconds() {
		a.RetryAt = now.Add(time.Duration(micros) * time.Microsecond)
	}
	switch a.Outcome {
	case retrier.OutcomeNotRun, retrier.OutcomeUnknown:
		return a, nil
	case retrier.OutcomeDone:
	default:
		return nil, &malformedAnswerError{InvalidFieldError{Field: "outcome"}}
	}
	if !validator.IsFinalStatus(int(m.GetStatus())) {
		return nil, &malformedAnswerError{InvalidFieldError{Field: "status"}}
	}
	if m.GetContentLength() < -1 {
		return nil, &malformedAnswerError{InvalidFieldError{Field: "content_length"}}
	}
	a.Status = int(m.GetStatus())
	a.Header = decodeHeaders(m.GetHeaders())
	if validator.CheckFields(a.Header) != nil {
		return nil, &malformedAnswerError{InvalidFieldError{Field: "headers"}}
	}
	a.ContentLength = m.GetContentLength()
	return a, nil
}
