package receiver

import (
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gentianbarrow.example/internal/deduplicator"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/pkg/snapshotter"
)

// callerTimeout is how long a caller may stand still while it sends a request
// or takes an answer.
const callerTimeout = 30 * time.Second

// maxIDBytes bounds a request id that a caller sends.
const maxIDBytes = 128

// call is one request of a caller.
type call struct {
	receiver    *Receiver
	w           http.ResponseWriter
	httpRequest *http.Request
	control     *http.ResponseController

	// request is nil until the request has been routed.
	request *exchanger.Request
	service snapshotter.Service
	// source and body are nil when the request has none.
	source *callerBody
	body   *replayer
	// done ends the count of the request; nil before it is counted.
	done   func()
	record explainer.Record
}

// run returns the answer to the caller.
func (c *call) run() *exchanger.Answer {
	c.record.RequestID = c.requestID()
	if refusal := c.route(); refusal != nil {
		return refusal
	}
	done, ok := c.receiver.cfg.Tracker.Begin(c.request.Class)
	if !ok {
		return exchanger.NotRun(exchanger.ReasonNodeDraining, nil)
	}
	c.done = done
	return c.attempts(c.httpRequest.Context())
}

// requestID returns the caller's own id when it is a plain word.
func (c *call) requestID() string {
	id := c.httpRequest.Header.Get(exchanger.HeaderRequestID)
	if id == "" || len(id) > maxIDBytes {
		return rand.Text()
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return rand.Text()
		}
	}
	return id
}

// route fills in the request, or returns why it cannot be served.
func (c *call) route() *exchanger.Answer {
	if c.receiver.cfg.Tracker.Closed() {
		return exchanger.NotRun(exchanger.ReasonNodeDraining, nil)
	}
	running := c.receiver.cfg.State().Config.Running
	if running == nil {
		return exchanger.NotRun(exchanger.ReasonNoConfig, nil)
	}
	c.record.ConfigVersion = running.Version
	r := c.httpRequest
	route, service, ok := c.receiver.cfg.Match(running, r.Method, r.URL.Path)
	if !ok {
		return exchanger.NotRun(exchanger.ReasonNoRoute, nil)
	}
	c.service = service
	c.record.Route, c.record.Service = route.Name, service.Name
	depth, ok := nextDepth(r.Header.Get(exchanger.HeaderDepth))
	if !ok || len(r.Header.Get(exchanger.HeaderIdempotencyKey)) > deduplicator.MaxKeyBytes {
		return exchanger.NotRun(exchanger.ReasonBadRequest, nil)
	}
	if depth > exchanger.MaxDepth {
		return exchanger.NotRun(exchanger.ReasonTooDeep, nil)
	}
	deadline, ok := c.deadline(route)
	if !ok {
		return exchanger.NotRun(exchanger.ReasonBadRequest, nil)
	}
	c.request = c.newRequest(route, service, depth, deadline, running.Version)
	c.record.Deadline = deadline
	return nil
}

func (c *call) newRequest(route snapshotter.Route, service snapshotter.Service, depth int, deadline time.Time, version uint64) *exchanger.Request {
	r := c.httpRequest
	out := &exchanger.Request{
		ID: c.record.RequestID, Method: r.Method, Path: r.URL.RequestURI(), Host: r.Host,
		Header:  exchanger.EndToEnd(r.Header),
		Service: service.Name, Route: route.Name, Firm: service.Firm, Class: route.Class,
		Idempotent: route.Idempotent, Deadline: deadline, Depth: depth,
		RetriedAbove:   retriedAbove(r.Header.Get(exchanger.HeaderAttempt)),
		IdempotencyKey: r.Header.Get(exchanger.HeaderIdempotencyKey),
		ContentLength:  r.ContentLength, ConfigVersion: version,
	}
	if r.ContentLength != 0 && r.Body != nil && r.Body != http.NoBody {
		c.source = &callerBody{control: c.control, src: r.Body}
		c.body = &replayer{src: c.source}
	} else {
		out.ContentLength = 0
	}
	return out
}

// nextDepth returns the depth of a call whose cause had the given depth.
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

func retriedAbove(header string) bool {
	attempt, err := strconv.Atoi(header)
	return err == nil && attempt > 1
}

// deadline is the earlier one of the route's and the caller's.
func (c *call) deadline(route snapshotter.Route) (time.Time, bool) {
	deadline := c.record.Arrived.Add(time.Duration(route.TimeoutMs) * time.Millisecond)
	header := c.httpRequest.Header.Get(exchanger.HeaderDeadline)
	if header == "" {
		return deadline, true
	}
	left, err := strconv.ParseInt(header, 10, 64)
	if err != nil || left < 0 {
		return time.Time{}, false
	}
	if left >= int64(route.TimeoutMs) {
		return deadline, true
	}
	return c.record.Arrived.Add(time.Duration(left) * time.Millisecond), true
}

// callerBody reads the caller's body and gives up on a caller that stands still.
type callerBody struct {
	control *http.ResponseController
	src     io.Reader

	mu sync.Mutex
	// stopped ends all further reads. Guarded by mu.
	stopped bool
}

// Read returns io.EOF only when the body is whole.
func (b *callerBody) Read(p []byte) (int, error) {
	if !b.extend() {
		return 0, &detachedError{}
	}
	n, err := b.src.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		// The server goes on reading to learn whether the caller goes away.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

func (b *callerBody) extend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		_ = b.control.SetReadDeadline(time.Now().Add(callerTimeout))
	}
	return !b.stopped
}

// stop ends reads, also one that waits for the caller.
func (b *callerBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	_ = b.control.SetReadDeadline(time.Now())
}

// finish counts the call and remembers how it was routed.
func (c *call) finish() {
	if c.done != nil {
		c.done()
	}
	if ring := c.receiver.cfg.Explanations; ring != nil {
		ring.Add(c.record)
	}
	firm, class := "", snapshotter.Class("")
	if c.request != nil {
		firm, class = c.request.Firm, c.request.Class
	}
	c.receiver.cfg.Meter.Finished(firm, class, c.record.Outcome, c.record.Reason, time.Since(c.record.Arrived))
}
