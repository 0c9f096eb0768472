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
	"gentianbarrow.example/internal/validator"
)

const (
	dialTimeout = 1 * time.Second
	// maxStaleAnswers is the maximum number of answers to earlier requests that
	// one exchange discards.
	maxStaleAnswers = 2
	// maxInterimAnswers is the maximum number of answers of status 1xx in one exchange.
	maxInterimAnswers = 16
	// maxStaleBodyBytes is how much of the body of a discarded answer is read at most.
	maxStaleBodyBytes = 1 << 20
)

// Dial connects to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures the HTTP client.
type Option func(*httpClient)

// WithDial sets the function that opens connections. The default is TCP.
func WithDial(d Dial) Option { return func(c *httpClient) { c.pool.dial = d } }

// WithDialect sets the names and values of the headers. The default is exchanger.DefaultDialect.
func WithDialect(d exchanger.Dialect) Option { return func(c *httpClient) { c.dialect = d } }

type httpClient struct {
	pool    *pool
	dialect exchanger.Dialect
}

// NewHTTP returns a client for targets that speak HTTP/1.1 and follow the rules
// in the package comment.
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
	// writtenBefore is the number of bytes written to the connection before this exchange.
	writtenBefore int64
	// stopWatch cancels the closing of the connection when ctx ends. It returns
	// false if ctx has ended already.
	stopWatch func() bool
	writing   sync.WaitGroup
	// requestSent is set when the whole request has been written.
	requestSent atomic.Bool
	// targetLeaves is set when the target stopped taking requests before the first byte was sent.
	targetLeaves atomic.Bool
	// callerBodyFailed is set when reading the caller's body failed or it ended early.
	callerBodyFailed atomic.Bool
	once             sync.Once
}

func (c *httpClient) dispatch(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.AbortTime())
	nc, err := c.pool.get(ctx, address, r)
	if err != nil {
		reason := failureReason(ctx, r, err)
		cancel()
		return exchanger.NotRun(reason, err)
	}
	x := &exchange{client: c, address: address, ctx: ctx, cancel: cancel, conn: nc, request: r, writtenBefore: nc.written.Load()}
	// Closing the connection cancels the request at the target.
	x.stopWatch = context.AfterFunc(ctx, func() { _ = nc.Close() })
	if r.Body == nil || r.ContentLength == 0 {
		x.write()
	} else {
		x.writing.Go(x.write)
	}
	return x.readAnswer()
}

// readAnswer reads the answer to the request. It discards answers to earlier ones.
func (x *exchange) readAnswer() *exchanger.Answer {
	requestMethod := &http.Request{Method: x.request.Method}
	var crossed error
	for stale, interim := 0, 0; stale <= maxStaleAnswers && interim <= maxInterimAnswers; {
		resp, err := x.conn.readHead(requestMethod) //nolint:bodyclose // the answer's body closes it
		if err != nil {
			return x.fail(err, crossed)
		}
		if resp.StatusCode/100 == 1 {
			interim++
			continue
		}
		got := resp.Header.Get(x.client.dialect.RequestID)
		if got == x.request.ID {
			return x.accept(resp)
		}
		stale++
		crossed = &BrokenAnswerError{Part: PartHead, Cause: &CrossedError{Want: x.request.ID, Got: got}}
		if !discardAnswer(resp) {
			break
		}
	}
	return x.fail(crossed, crossed)
}

// discardAnswer reads the body of an answer, up to maxStaleBodyBytes, and reports
// whether the connection can carry another answer.
func discardAnswer(resp *http.Response) bool {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	_, err := io.CopyN(io.Discard, resp.Body, maxStaleBodyBytes+1)
	return errors.Is(err, io.EOF)
}

// hasArrived reports whether the whole body of an answer can be read without waiting.
func (x *exchange) hasArrived(resp *http.Response) bool {
	return resp.ContentLength >= 0 && resp.ContentLength <= int64(x.conn.r.Buffered())
}

// fail ends an exchange without an answer.
func (x *exchange) fail(err, crossed error) *exchanger.Answer {
	reason := failureReason(x.ctx, x.request, err)
	if crossed != nil && x.ctx.Err() == nil {
		reason, err = exchanger.ReasonCrossedAnswer, crossed
	}
	if x.targetLeaves.Load() {
		reason = exchanger.ReasonTargetDraining
	}
	x.finish(false)
	// The connection is closed: if no byte has been counted by now, none will be written.
	if x.conn.written.Load() == x.writtenBefore {
		return exchanger.NotRun(reason, err)
	}
	return exchanger.Unknown(reason, err)
}

// accept returns the answer to the request.
func (x *exchange) accept(resp *http.Response) *exchanger.Answer {
	d := &x.client.dialect
	x.conn.readIdleTimeout(resp.Header)
	if d.IsNotRun(resp.StatusCode, resp.Header) {
		return x.finishNotRun(resp)
	}
	if d.Signature != "" && resp.Header.Get(d.Signature) == "" {
		return x.fail(&BrokenAnswerError{Part: PartHead, Cause: &UnsignedError{Status: resp.StatusCode}}, nil)
	}
	header := exchanger.EndToEndHeaders(resp.Header)
	return &exchanger.Answer{
		Outcome: retrier.OutcomeDone, Status: resp.StatusCode, Header: header, Report: d.TargetReport(resp.Header),
		ContentLength: resp.ContentLength, Body: &answerBody{resp: resp, exchange: x},
	}
}

// finishNotRun ends an exchange whose target reports that it did not start the request.
func (x *exchange) finishNotRun(resp *http.Response) *exchanger.Answer {
	d := &x.client.dialect
	x.conn.recordRefusal(x.request.ID)
	a := exchanger.NotRun(exchanger.ReasonTargetShed, nil)
	switch {
	case d.WrongTargetStatus != 0 && resp.StatusCode == d.WrongTargetStatus:
		a.Reason = exchanger.ReasonWrongTarget
		a.TargetID = resp.Header.Get(d.TargetID)
	case d.IsRetryDecided(resp.Header):
		a.Reason = exchanger.ReasonShedBelow
	}
	if a.Reason != exchanger.ReasonWrongTarget {
		a.Report = d.TargetReport(resp.Header)
	}
	a.RetryAt = d.ParseRetryAfter(resp.Header, time.Now())
	// A body that has not arrived yet is not waited for: the request goes elsewhere at once.
	x.finish(x.hasArrived(resp) && discardAnswer(resp))
	return a
}

// finish returns the connection to the pool if it carries no remaining bytes of
// the exchange, and closes it otherwise. Only the first call has an effect.
func (x *exchange) finish(reusable bool) {
	x.once.Do(func() {
		defer x.cancel()
		reusable = x.stopWatch() && reusable && x.requestSent.Load() && x.conn.r.Buffered() == 0
		if !reusable {
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
	var headTooLarge *HeadTooLargeError
	var malformed *validator.MalformedError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || r.IsDeadlineReached(time.Now()):
		return exchanger.ReasonDeadline
	case ctx.Err() != nil:
		return exchanger.ReasonCancelled
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return exchanger.ReasonTargetFailed
	case errors.As(err, &timeout) && timeout.Timeout():
		return exchanger.ReasonSilentConnection
	case errors.As(err, &unsigned), errors.As(err, &headTooLarge), errors.As(err, &malformed):
		return exchanger.ReasonMalformedAnswer
	default:
		return exchanger.ReasonConnectionLost
	}
}
