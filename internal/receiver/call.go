package receiver

import (
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gentianbarrow.example/internal/acceptor"
	"gentianbarrow.example/internal/attributor"
	"gentianbarrow.example/internal/deduplicator"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/pkg/snapshotter"
)

// callerIdleTimeout is how long a caller may make no progress while it sends a
// request or reads an answer.
const callerIdleTimeout = 30 * time.Second

const (
	// answerTimeDivisor and maxAnswerTime bound the time for the way of a request and its
	// answer. An answer that comes after the caller's deadline finds the connection
	// closed, and with it the answers to the requests that are pipelined behind.
	answerTimeDivisor = 20
	maxAnswerTime     = 10 * time.Millisecond
)

// maxIDBytes is the greatest length of a request id that a caller sends.
const maxIDBytes = 128

// call is one HTTP request of a caller.
type call struct {
	receiver    *Receiver
	w           http.ResponseWriter
	httpRequest *http.Request
	control     *http.ResponseController
	caller      acceptor.Caller
	// readAt is when the request was read; the caller's Arrived lies before it.
	readAt time.Time

	// firm is the firm whose access key the request carries; its name is empty when there is none.
	firm snapshotter.Firm
	// class is that of the route; empty until the request has been identified.
	class snapshotter.Class
	// request is nil until the request has been routed.
	request *exchanger.Request
	service snapshotter.Service
	// source and body are nil when the request has none.
	source *callerBody
	body   *replayer
	// done ends the tracking of the request; nil before it is tracked.
	done   func()
	record explainer.Record
}

// handle routes and sends the request and returns the answer.
func (c *call) handle() *exchanger.Answer {
	id, hasID := c.requestID()
	c.record.RequestID = id
	if !hasID && c.receiver.cfg.Dialect.RequireRequestID {
		return exchanger.NotRun(exchanger.ReasonBadRequest, nil)
	}
	if refusal := c.routeRequest(); refusal != nil {
		return refusal
	}
	a := c.track()
	c.returnToken(a)
	return a
}

// track sends a request that has been routed, and counts it while it is in flight.
func (c *call) track() *exchanger.Answer {
	done, ok := c.receiver.cfg.Tracker.Begin(c.request.Class)
	if !ok {
		return exchanger.NotRun(exchanger.ReasonNodeDraining, nil)
	}
	c.done = done
	a := c.sendAttempts(c.httpRequest.Context())
	c.recordCall(a)
	return a
}

// requestID returns the caller's id if it is printable ASCII without spaces and not
// too long, else a random one.
func (c *call) requestID() (id string, hasID bool) {
	id = c.httpRequest.Header.Get(c.receiver.cfg.Dialect.RequestID)
	if id == "" || len(id) > maxIDBytes {
		return rand.Text(), false
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return rand.Text(), false
		}
	}
	return id, true
}

// requestTarget returns the path and query as sent by the caller.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// requestHost returns the host that a request is for, without a port and in lower case.
func requestHost(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// routeRequest sets c.request, or returns a refusal when the request cannot be served.
func (c *call) routeRequest() *exchanger.Answer {
	if c.receiver.cfg.Tracker.Closed() {
		return exchanger.NotRun(exchanger.ReasonNodeDraining, nil)
	}
	running := c.receiver.cfg.State().Config.Running
	if running == nil {
		return exchanger.NotRun(exchanger.ReasonNoConfig, nil)
	}
	c.record.ConfigVersion = running.Version
	r := c.httpRequest
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	route, service, ok := c.receiver.cfg.Match(running, requestHost(r), r.Method, path)
	if !ok {
		return exchanger.NotRun(exchanger.ReasonNoRoute, nil)
	}
	c.record.Route, c.record.Service = route.Name, service.Name
	firm, refusal := c.identify(running, route)
	if refusal != nil {
		return refusal
	}
	c.firm, c.class = firm, route.Class
	c.record.Firm = firm.Name
	if name := c.receiver.serviceOf(&route); name != service.Name {
		service = running.Services[name]
	}
	if maxBytes := running.CallerLimits.BodyBytes; maxBytes > 0 && r.ContentLength > int64(maxBytes) {
		return exchanger.NotRun(exchanger.ReasonTooLarge, nil)
	}
	c.service = service
	c.record.Service = service.Name
	depth, ok := nextDepth(c.header(c.receiver.cfg.Dialect.Depth))
	if !ok || len(c.header(c.receiver.cfg.Dialect.IdempotencyKey)) > deduplicator.MaxKeyBytes {
		return exchanger.NotRun(exchanger.ReasonBadRequest, nil)
	}
	if depth > exchanger.MaxDepth {
		return exchanger.NotRun(exchanger.ReasonTooDeep, nil)
	}
	deadline, ok := c.deadline(route)
	if !ok {
		return exchanger.NotRun(exchanger.ReasonBadRequest, nil)
	}
	isCall := c.isCall(route.Name, service.Name, depth)
	// Without records of what runs here, a request without a key may be a call.
	mayBeCall := isCall || c.receiver.cfg.OriginOf == nil && len(running.Firms) > 0 && firm.Name == ""
	if refusal := c.takeToken(); refusal != nil {
		return refusal
	}
	if refusal := c.admit(route, firm, deadline, mayBeCall); refusal != nil {
		c.returnToken(refusal)
		return refusal
	}
	c.request = c.newRequest(route, service, depth, deadline, running.Version)
	c.request.Path, c.request.IsCall = target, isCall
	if len(running.Firms) > 0 {
		c.setFirm(firm)
	}
	c.record.Deadline = deadline
	return nil
}

// newRequest returns the request as it is sent to targets, and sets c.source and c.body if it has a body.
func (c *call) newRequest(route snapshotter.Route, service snapshotter.Service, depth int, deadline time.Time, version uint64) *exchanger.Request {
	r := c.httpRequest
	d := &c.receiver.cfg.Dialect
	out := &exchanger.Request{
		ID: c.record.RequestID, Method: r.Method, Host: r.Host,
		Header:  d.EndToEndHeaders(r.Header),
		Service: service.Name, Route: route.Name, Firm: service.Firm, Class: route.Class,
		Idempotent: route.Idempotent, Deadline: deadline, Depth: depth,
		RetriedAbove:   isPartOfRetry(c.header(d.Attempt)),
		IdempotencyKey: c.header(d.IdempotencyKey),
		ContentLength:  r.ContentLength, ConfigVersion: version,
		LargeAnswer: route.LargeAnswers,
		Priority:    route.Priority, CallerService: c.receiver.cfg.CallerService, MaxAttempts: route.MaxAttempts,
	}
	if c.caller.IsGone != nil {
		out.CallerGone = c.isCallerGone
	}
	out.AbortAt = deadline.Add(c.readAt.Sub(c.record.Arrived))
	if route.TargetLatencyMs > 0 {
		out.SoftDeadline = c.record.Arrived.Add(time.Duration(route.TargetLatencyMs) * time.Millisecond)
	}
	if r.ContentLength != 0 && r.Body != nil && r.Body != http.NoBody {
		c.source = &callerBody{control: c.control, src: r.Body}
		c.body = &replayer{src: c.source}
	} else {
		out.ContentLength = 0
	}
	return out
}

// isCall reports whether a run at this host's target waits for the answer.
func (c *call) isCall(route, service string, depth int) bool {
	originOf := c.receiver.cfg.OriginOf
	if originOf == nil || c.caller.Connection == 0 {
		return depth > 1
	}
	origin, parent := originOf(c.readAt, attributor.Arrival{ID: c.record.RequestID, Connection: c.caller.Connection, Route: route, Service: service})
	c.record.Parent = parent
	return origin == attributor.OriginTarget || depth > 1
}

// header returns the value of a header of the dialect; empty when the dialect does not use it.
func (c *call) header(name string) string {
	if name == "" {
		return ""
	}
	return c.httpRequest.Header.Get(name)
}

// nextDepth returns the depth of a call made for a request of the given depth; false
// when the header is malformed.
func nextDepth(header string) (int, bool) {
	if header == "" {
		return 1, true
	}
	depth, err := strconv.Atoi(header)
	if err != nil || depth < 0 || depth > exchanger.MaxDepth {
		return exchanger.MaxDepth + 1, err == nil && depth >= 0
	}
	return depth + 1, true
}

// isPartOfRetry reports whether the header of the attempt shows a retry by a node nearer the caller.
func isPartOfRetry(header string) bool {
	attempt, err := strconv.Atoi(header)
	return err == nil && attempt > 1
}

// deadline returns the earlier of the route's and the caller's deadline; false when
// the caller's is malformed.
func (c *call) deadline(route snapshotter.Route) (time.Time, bool) {
	deadline := c.record.Arrived.Add(time.Duration(route.TimeoutMs) * time.Millisecond)
	left, isSet, ok := c.receiver.cfg.Dialect.ParseTimeLeft(c.httpRequest.Header)
	if !ok {
		return time.Time{}, false
	}
	if callerDeadline := c.record.Arrived.Add(left - answerTime(left)); isSet && callerDeadline.Before(deadline) {
		return callerDeadline, true
	}
	return deadline, true
}

// answerTime returns how much of the time that a caller still waits is kept for the way
// of the request and its answer.
func answerTime(left time.Duration) time.Duration {
	return min(left/answerTimeDivisor, maxAnswerTime)
}

// callerBody reads the caller's body. A read fails when the caller sends nothing for
// callerIdleTimeout.
type callerBody struct {
	control *http.ResponseController
	src     io.Reader

	mu sync.Mutex
	// stopped is set when all further reads fail. Guarded by mu.
	stopped bool
}

// Read returns io.EOF only when the body is complete.
func (b *callerBody) Read(p []byte) (int, error) {
	if !b.extend() {
		return 0, &detachedError{}
	}
	n, err := b.src.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		// The server keeps reading to detect when the caller disconnects.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// extend moves the read deadline; false when the body was stopped.
func (b *callerBody) extend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		_ = b.control.SetReadDeadline(time.Now().Add(callerIdleTimeout))
	}
	return !b.stopped
}

// stop makes reads fail, including one that waits for the caller.
func (b *callerBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	_ = b.control.SetReadDeadline(time.Now())
}

// finish ends the tracking of the call, records how it was routed, logs and counts it.
func (c *call) finish() {
	if c.done != nil {
		c.done()
	}
	if ring := c.receiver.cfg.Explanations; ring != nil {
		ring.Add(c.record)
	}
	c.logOutcome()
	firm := c.firm.Name
	if c.request != nil {
		firm = c.request.Firm
	}
	c.receiver.cfg.Meter.RecordRequest(firm, c.class, c.record.Outcome, c.record.Reason, time.Since(c.record.Arrived))
}
