package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

const (
	dialTimeout = 1 * time.Second
	// idleTimeout of connections that only carry idempotent requests.
	idleTimeout = 30 * time.Second
	// freshTimeout bounds how long a connection may have been idle that
	// carries a request which must not be repeated.
	freshTimeout       = 1 * time.Second
	maxIdleConnections = 128
	maxHeaderBytes     = 64 << 10
	bufferBytes        = 16 << 10
)

// Dial connects to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes the HTTP client.
type Option func(*httpClient)

// WithDial replaces TCP.
func WithDial(d Dial) Option { return func(c *httpClient) { c.dial = d } }

type httpClient struct {
	dial Dial
	// repeatable carries idempotent requests and once carries all others.
	repeatable *http.Transport
	once       *http.Transport
}

// NewHTTP returns a client for targets that speak HTTP/1.1 by the contract of this package.
func NewHTTP(options ...Option) Client {
	c := &httpClient{dial: dialTCP}
	for _, o := range options {
		o(c)
	}
	c.repeatable = c.transport(idleTimeout)
	c.once = c.transport(freshTimeout)
	return Client{Dispatch: c.dispatch, Close: c.close}
}

func (c *httpClient) transport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := c.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: nc}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

func (c *httpClient) close() {
	c.repeatable.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

func (c *httpClient) dispatch(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	h := handover{cancel: cancel}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { h.take(i.Conn) }}
	out := newRequest(httptrace.WithClientTrace(ctx, trace), address, r)
	transport := c.once
	if r.Idempotent {
		transport = c.repeatable
	}
	resp, err := transport.RoundTrip(out) //nolint:bodyclose // the answer's body closes it
	if err != nil {
		proven := h.giveUp()
		reason := failureReason(ctx, r, err)
		cancel()
		if proven {
			return exchanger.NotRun(reason, err)
		}
		return exchanger.Unknown(reason, err)
	}
	return answer(resp, cancel, r)
}

func newRequest(ctx context.Context, address string, r *exchanger.Request) *http.Request {
	target := &url.URL{Scheme: "http", Host: address}
	if u, err := url.ParseRequestURI(r.Path); err == nil {
		target.Path, target.RawPath, target.RawQuery = u.Path, u.RawPath, u.RawQuery
	}
	header := exchanger.EndToEnd(r.Header)
	header.Set(exchanger.HeaderRequestID, r.ID)
	header.Set(exchanger.HeaderDepth, strconv.Itoa(r.Depth))
	left := max(time.Until(r.Deadline).Milliseconds(), 0)
	header.Set(exchanger.HeaderDeadline, strconv.FormatInt(left, 10))
	if r.Attempt > 1 || r.RetriedAbove {
		header.Set(exchanger.HeaderAttempt, strconv.Itoa(max(r.Attempt, 2)))
	}
	if r.IdempotencyKey != "" {
		header.Set(exchanger.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	out := (&http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: r.ContentLength,
	}).WithContext(ctx)
	if r.Body != nil && r.ContentLength != 0 {
		out.Body = io.NopCloser(r.Body)
	}
	return out
}

func failureReason(ctx context.Context, r *exchanger.Request, err error) exchanger.Reason {
	var opErr *net.OpError
	var timeout net.Error
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || r.TimeUp(time.Now()):
		return exchanger.ReasonDeadline
	case ctx.Err() != nil:
		return exchanger.ReasonCancelled
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return exchanger.ReasonTargetFailed
	case errors.As(err, &timeout) && timeout.Timeout():
		return exchanger.ReasonSilent
	default:
		return exchanger.ReasonConnectionLost
	}
}

// answer makes sure that the response belongs to the request.
func answer(resp *http.Response, cancel context.CancelFunc, r *exchanger.Request) *exchanger.Answer {
	body := &answerBody{ReadCloser: resp.Body, cancel: cancel}
	if got := resp.Header.Get(exchanger.HeaderRequestID); got != r.ID {
		// Cancelling first keeps the connection out of the pool.
		cancel()
		_ = body.Close()
		return exchanger.Unknown(exchanger.ReasonCrossedAnswer, &CrossedError{Want: r.ID, Got: got})
	}
	if resp.Header.Get(HeaderShed) == ShedNotRun {
		_ = body.Close()
		a := exchanger.NotRun(shedReason(resp.Header), nil)
		a.RetryAt = retryAt(resp.Header)
		return a
	}
	return &exchanger.Answer{
		Outcome: retrier.OutcomeDone, Status: resp.StatusCode, Header: exchanger.EndToEnd(resp.Header),
		ContentLength: resp.ContentLength, Body: body,
	}
}

// shedReason tells a target without room from one whose own call failed and was not worth another try.
func shedReason(h http.Header) exchanger.Reason {
	if h.Get(exchanger.HeaderRetried) == "true" {
		return exchanger.ReasonShedBelow
	}
	return exchanger.ReasonTargetShed
}

func retryAt(h http.Header) time.Time {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(seconds) * time.Second)
}

// answerBody cancels the exchange when it is closed before its end, so that
// the connection is not used again.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	whole  bool
}

// Read returns io.EOF only when the body is whole.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.whole = true
	}
	return n, err
}

// Close ends the exchange.
func (b *answerBody) Close() error {
	if !b.whole {
		b.cancel()
	}
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
