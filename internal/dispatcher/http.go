package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

const (
	dialTimeout = 1 * time.Second
	// maxStray is how many answers to earlier requests are passed over on one connection.
	maxStray = 2
	// maxStrayBytes bounds the body of an answer that is passed over.
	maxStrayBytes = 1 << 20
)

// Dial connects to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes the HTTP client.
type Option func(*httpClient)

// WithDial replaces TCP.
func WithDial(d Dial) Option { return func(c *httpClient) { c.pool.dial = d } }

// WithDialect replaces the contract of this package by another one with the same rules.
func WithDialect(d exchanger.Dialect) Option { return func(c *httpClient) { c.dialect = d } }

type httpClient struct {
	pool    *pool
	dialect exchanger.Dialect
}

// NewHTTP returns a client for targets that speak HTTP/1.1 by the contract of this package.
func NewHTTP(options ...Option) Client {
	c := &httpClient{pool: newPool(dialTCP), dialect: exchanger.DefaultDialect()}
	for _, o := range options {
		o(c)
	}
	return Client{Dispatch: c.dispatch, Close: c.pool.close}
}

// exchange is one request on its connection.
type exchange struct {
	client  *httpClient
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	conn    *conn
	request *exchanger.Request
	// start is the connection's count of written bytes before this exchange.
	start int64
	// stop ends the watch over ctx; it returns false when ctx has ended.
	stop func() bool
	send sync.WaitGroup
	// sent tells that the whole request has been written.
	sent atomic.Bool
	// broken tells that the caller's body ended early.
	broken atomic.Bool
	once   sync.Once
}

func (c *httpClient) dispatch(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	nc, err := c.pool.get(ctx, address, r.Idempotent)
	if err != nil {
		reason := failureReason(ctx, r, err)
		cancel()
		return exchanger.NotRun(reason, err)
	}
	x := &exchange{client: c, address: address, ctx: ctx, cancel: cancel, conn: nc, request: r, start: nc.written.Load()}
	// Closing the connection tells the target to stop.
	x.stop = context.AfterFunc(ctx, func() { _ = nc.Close() })
	if r.Body == nil || r.ContentLength == 0 {
		x.write()
	} else {
		x.send.Go(x.write)
	}
	return x.answer()
}

// answer reads the answer to the request and passes over answers to earlier ones.
func (x *exchange) answer() *exchanger.Answer {
	method := &http.Request{Method: x.request.Method}
	var crossed error
	for range maxStray + 1 {
		resp, err := http.ReadResponse(x.conn.r, method) //nolint:bodyclose // the answer's body closes it
		if err != nil {
			return x.failed(err, crossed)
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		got := resp.Header.Get(x.client.dialect.RequestID)
		if got == x.request.ID {
			return x.accept(resp)
		}
		crossed = &CrossedError{Want: x.request.ID, Got: got}
		if !passOver(resp) {
			break
		}
	}
	return x.failed(crossed, crossed)
}

// passOver reads a stray answer to its end, and tells whether another answer may follow.
func passOver(resp *http.Response) bool {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
	return err == nil
}

// failed ends an exchange that has no answer.
func (x *exchange) failed(err, crossed error) *exchanger.Answer {
	reason := failureReason(x.ctx, x.request, err)
	if crossed != nil && x.ctx.Err() == nil {
		reason, err = exchanger.ReasonCrossedAnswer, crossed
	}
	x.end(false)
	// The connection is closed: bytes that are not counted yet will not be written.
	if x.conn.written.Load() == x.start {
		return exchanger.NotRun(reason, err)
	}
	return exchanger.Unknown(reason, err)
}

// accept takes the answer that belongs to the request.
func (x *exchange) accept(resp *http.Response) *exchanger.Answer {
	d := &x.client.dialect
	x.conn.learn(resp.Header)
	if d.IsNotRun(resp.StatusCode, resp.Header) {
		return x.notRun(resp)
	}
	if d.Signature != "" && resp.Header.Get(d.Signature) == "" {
		return x.failed(&UnsignedError{Status: resp.StatusCode}, nil)
	}
	header := exchanger.EndToEndHeaders(resp.Header)
	return &exchanger.Answer{
		Outcome: retrier.OutcomeDone, Status: resp.StatusCode, Header: header,
		ContentLength: resp.ContentLength, Body: &answerBody{ReadCloser: resp.Body, exchange: x, last: resp.Close},
	}
}

// notRun ends an exchange whose target says that it did not start the request.
func (x *exchange) notRun(resp *http.Response) *exchanger.Answer {
	d := &x.client.dialect
	a := exchanger.NotRun(exchanger.ReasonTargetShed, nil)
	switch {
	case d.WrongTargetStatus != 0 && resp.StatusCode == d.WrongTargetStatus:
		a.Reason = exchanger.ReasonWrongTarget
		a.TargetID = resp.Header.Get(d.TargetID)
	case d.IsRetryDecided(resp.Header):
		a.Reason = exchanger.ReasonShedBelow
	}
	a.RetryAt = d.ParseRetryAfter(resp.Header, time.Now())
	x.end(passOver(resp))
	return a
}

// end gives the connection back when nothing of the exchange is left on it.
func (x *exchange) end(clean bool) {
	x.once.Do(func() {
		defer x.cancel()
		clean = x.stop() && clean && x.sent.Load() && x.conn.r.Buffered() == 0
		if !clean {
			_ = x.conn.Close()
			return
		}
		x.client.pool.put(x.address, x.conn)
	})
}

func failureReason(ctx context.Context, r *exchanger.Request, err error) exchanger.Reason {
	var opErr *net.OpError
	var timeout net.Error
	var unsigned *UnsignedError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || r.IsDeadlineReached(time.Now()):
		return exchanger.ReasonDeadline
	case ctx.Err() != nil:
		return exchanger.ReasonCancelled
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return exchanger.ReasonTargetFailed
	case errors.As(err, &timeout) && timeout.Timeout():
		return exchanger.ReasonSilentConnection
	case errors.As(err, &unsigned):
		return exchanger.ReasonMalformedAnswer
	default:
		return exchanger.ReasonConnectionLost
	}
}

// answerBody ends the exchange when the answer has been read or is closed.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	// last tells that the connection ends with this answer.
	last bool
}

// Read returns io.EOF only when the body is whole.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.exchange.end(!b.last)
	}
	return n, err
}

// Close ends the exchange.
func (b *answerBody) Close() error {
	b.exchange.end(false)
	return nil
}
