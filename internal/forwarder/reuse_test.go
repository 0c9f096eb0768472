package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/retrier"
)

// pair is a forwarder and its peer, joined by links.
type pair struct {
	near    *Forwarder
	tracker *drainer.Tracker
	// opened counts the streams.
	opened atomic.Int32
	// execute answers requests at the peer.
	execute func(ctx context.Context, r *exchanger.Request) *exchanger.Answer
}

// echoID answers with the id of the request, after it has read the body.
func echoID(_ context.Context, r *exchanger.Request) *exchanger.Answer {
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	return &exchanger.Answer{
		Outcome: retrier.OutcomeDone, Status: http.StatusOK, ContentLength: int64(len(r.ID)),
		Body: io.NopCloser(strings.NewReader(r.ID)),
	}
}

// closeLate takes until after the deadline to close.
type closeLate struct {
	io.ReadCloser
	deadline time.Time
}

func (c closeLate) Close() error {
	time.Sleep(time.Until(c.deadline) + time.Second)
	return c.ReadCloser.Close()
}

// untilDone is a body that never ends by itself.
type untilDone struct {
	ctx   context.Context
	ended *atomic.Bool
}

func (b untilDone) Read([]byte) (int, error) {
	<-b.ctx.Done()
	b.ended.Store(true)
	return 0, b.ctx.Err()
}

// inPair runs a test with two forwarders under fake time.
func inPair(t *testing.T, f func(t *testing.T, p *pair)) {
	t.Helper()
	// yamux pools timers, which must not pass from one bubble to the next.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &pair{tracker: drainer.NewTracker(), execute: echoID}
		far := New(Config{
			Tracker: p.tracker,
			Execute: func(ctx context.Context, r *exchanger.Request) *exchanger.Answer { return p.execute(ctx, r) },
			Refuse: func(_ *exchanger.Request, reason exchanger.Reason) *exchanger.Answer {
				return exchanger.NotRun(reason, nil)
			},
		})
		server, client := linker.New(), linker.New()
		server.Handle(Kind, far.Handle)
		var group sync.WaitGroup
		client.Dial = func(context.Context, string) (net.Conn, error) {
			a, b := net.Pipe()
			group.Go(func() { server.ServeConn(ctx, b) })
			return a, nil
		}
		p.near = New(Config{Open: func(ctx context.Context, address string, traffic linker.Traffic, kind string, first proto.Message, limit int) (*linker.Stream, error) {
			p.opened.Add(1)
			return client.OpenWith(ctx, address, traffic, kind, first, limit)
		}})
		f(t, p)
		client.Close()
		cancel()
		group.Wait()
	})
}

func (p *pair) assertEcho(t *testing.T, r *exchanger.Request) {
	t.Helper()
	a := p.near.Forward(t.Context(), "peer", r)
	defer a.Close()
	assert.Equal(t, a.Outcome, retrier.OutcomeDone, "reason %q, error %v", a.Reason, a.Err)
	body, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), r.ID)
}

func withBody(r *exchanger.Request, size int) *exchanger.Request {
	r.Body = bytes.NewReader(make([]byte, size))
	r.ContentLength = int64(size)
	return r
}

func TestReuse(t *testing.T) {
	t.Run("a stream carries one exchange after the other", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			for range 5 {
				p.assertEcho(t, testRequest())
				p.assertEcho(t, withBody(testRequest(), 100_000))
			}
			assert.Equal(t, p.opened.Load(), int32(1))
		})
	})
	t.Run("not when the answer was not read to its end", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			p.near.Forward(t.Context(), "peer", testRequest()).Close()
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.opened.Load(), int32(2))
		})
	})
	t.Run("leaving an answer cancels the request at the peer", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			var ended atomic.Bool
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				a := echoID(ctx, r)
				a.ContentLength = -1
				a.Body = io.NopCloser(untilDone{ctx, &ended})
				return a
			}
			p.near.Forward(t.Context(), "peer", testRequest()).Close()
			synctest.Wait()
			assert.Assert(t, ended.Load())
		})
	})
	t.Run("not when the target has not read the request", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				r.Body = nil
				return echoID(ctx, r)
			}
			p.assertEcho(t, withBody(testRequest(), 1000))
			p.assertEcho(t, withBody(testRequest(), 1000))
			assert.Equal(t, p.opened.Load(), int32(2))
		})
	})
	t.Run("not when the request was cancelled", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				if r.ID == "slow" {
					<-ctx.Done()
				}
				return echoID(ctx, r)
			}
			slow := testRequest()
			slow.ID = "slow"
			a := p.near.Forward(ctx, "peer", slow)
			assert.Equal(t, a.Outcome, retrier.OutcomeUnknown)
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.opened.Load(), int32(2))
		})
	})
	t.Run("not when the caller went away after it had the answer", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			ctx, cancel := context.WithCancel(t.Context())
			a := p.near.Forward(ctx, "peer", testRequest())
			_, err := io.ReadAll(a.Body)
			assert.NilError(t, err)
			cancel()
			synctest.Wait()
			a.Close()
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.opened.Load(), int32(2))
		})
	})
	t.Run("also when the first request's time is up just after its answer", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				a := echoID(ctx, r)
				a.Body = closeLate{a.Body, r.Deadline}
				return a
			}
			p.assertEcho(t, testRequest())
			next := testRequest()
			next.Deadline = next.Deadline.Add(time.Minute)
			p.assertEcho(t, next)
			assert.Equal(t, p.opened.Load(), int32(1))
		})
	})
	t.Run("not after it has waited long", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			p.assertEcho(t, testRequest())
			time.Sleep(idleTimeout + time.Second)
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.opened.Load(), int32(2))
		})
	})
	t.Run("not for long bodies", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			for range 2 {
				r := testRequest()
				r.Class = "bulk"
				p.assertEcho(t, r)
			}
			assert.Equal(t, p.opened.Load(), int32(2))
		})
	})
	t.Run("not when the node has begun to drain meanwhile", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				p.tracker.Close()
				return echoID(ctx, r)
			}
			p.assertEcho(t, testRequest())
			p.near.Forward(t.Context(), "peer", testRequest()).Close()
			assert.Equal(t, p.opened.Load(), int32(2))
		})
	})
	t.Run("not when the node drains", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			p.assertEcho(t, testRequest())
			p.tracker.Close()
			for range 2 {
				a := p.near.Forward(t.Context(), "peer", testRequest())
				assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
				assert.Equal(t, a.Reason, exchanger.ReasonNodeDraining)
			}
			assert.Equal(t, p.opened.Load(), int32(2))
		})
	})
}
