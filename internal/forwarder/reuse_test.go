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

// forwarderPair is a forwarder and its peer, connected by linkers.
type forwarderPair struct {
	// precheck is the Precheck of the serving side; nil refuses nothing.
	precheck func(r *exchanger.Request, ahead int) *exchanger.Answer
	client   *Forwarder
	tracker  *drainer.Tracker
	// openedStreams counts the streams that the client has opened.
	openedStreams atomic.Int32
	// execute runs requests at the peer.
	execute func(ctx context.Context, r *exchanger.Request) *exchanger.Answer
}

// echoID reads the body of a request and answers with the request's id.
func echoID(_ context.Context, r *exchanger.Request) *exchanger.Answer {
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	return &exchanger.Answer{
		Outcome: retrier.OutcomeDone, Status: http.StatusOK, ContentLength: int64(len(r.ID)),
		Body: io.NopCloser(strings.NewReader(r.ID)),
	}
}

// lateCloser is a body whose Close returns only after the deadline.
type lateCloser struct {
	io.ReadCloser
	deadline time.Time
}

func (c lateCloser) Close() error {
	time.Sleep(time.Until(c.deadline) + time.Second)
	return c.ReadCloser.Close()
}

// endlessBody is a body that only ends when its context does.
type endlessBody struct {
	ctx   context.Context
	ended *atomic.Bool
}

func (b endlessBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	b.ended.Store(true)
	return 0, b.ctx.Err()
}

// runPair runs a test with two forwarders under fake time.
func runPair(t *testing.T, f func(t *testing.T, p *forwarderPair)) {
	t.Helper()
	// yamux pools timers, which must not pass from one synctest bubble to the next.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &forwarderPair{tracker: drainer.NewTracker(), execute: echoID}
		serving := New(Config{
			Tracker: p.tracker,
			Execute: func(ctx context.Context, r *exchanger.Request) *exchanger.Answer { return p.execute(ctx, r) },
			Precheck: func(r *exchanger.Request, ahead int) *exchanger.Answer {
				if p.precheck == nil {
					return nil
				}
				return p.precheck(r, ahead)
			},
			Refuse: func(_ *exchanger.Request, reason exchanger.Reason) *exchanger.Answer {
				return exchanger.NotRun(reason, nil)
			},
		})
		server, client := linker.New(), linker.New()
		server.Handle(Kind, serving.Handle)
		var group sync.WaitGroup
		client.Dial = func(context.Context, string) (net.Conn, error) {
			local, remote := net.Pipe()
			group.Go(func() { server.ServeConn(ctx, remote) })
			return local, nil
		}
		p.client = New(Config{Open: func(ctx context.Context, address string, traffic linker.Traffic, kind string, first proto.Message, limit int) (*linker.Stream, error) {
			p.openedStreams.Add(1)
			return client.OpenWith(ctx, address, traffic, kind, first, limit)
		}})
		f(t, p)
		client.Close()
		cancel()
		group.Wait()
	})
}

func (p *forwarderPair) assertEcho(t *testing.T, r *exchanger.Request) {
	t.Helper()
	a := p.client.Forward(t.Context(), "peer", r)
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

func TestStreamReuse(t *testing.T) {
	t.Run("a stream carries consecutive exchanges", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			for range 5 {
				p.assertEcho(t, testRequest())
				p.assertEcho(t, withBody(testRequest(), 100_000))
			}
			assert.Equal(t, p.openedStreams.Load(), int32(1))
		})
	})
	t.Run("not after an answer that was not read to its end", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			p.client.Forward(t.Context(), "peer", testRequest()).Close()
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.openedStreams.Load(), int32(2))
		})
	})
	t.Run("closing an answer early cancels the request at the peer", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			var ended atomic.Bool
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				a := echoID(ctx, r)
				a.ContentLength = -1
				a.Body = io.NopCloser(endlessBody{ctx, &ended})
				return a
			}
			p.client.Forward(t.Context(), "peer", testRequest()).Close()
			synctest.Wait()
			assert.Assert(t, ended.Load())
		})
	})
	t.Run("not after a request whose body was not read", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				r.Body = nil
				return echoID(ctx, r)
			}
			p.assertEcho(t, withBody(testRequest(), 1000))
			p.assertEcho(t, withBody(testRequest(), 1000))
			assert.Equal(t, p.openedStreams.Load(), int32(2))
		})
	})
	t.Run("not after a cancelled request", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
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
			a := p.client.Forward(ctx, "peer", slow)
			assert.Equal(t, a.Outcome, retrier.OutcomeUnknown)
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.openedStreams.Load(), int32(2))
		})
	})
	t.Run("not when the caller leaves after it has read the answer", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			ctx, cancel := context.WithCancel(t.Context())
			a := p.client.Forward(ctx, "peer", testRequest())
			_, err := io.ReadAll(a.Body)
			assert.NilError(t, err)
			cancel()
			synctest.Wait()
			a.Close()
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.openedStreams.Load(), int32(2))
		})
	})
	t.Run("also when the first request's deadline passes right after its answer", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				a := echoID(ctx, r)
				a.Body = lateCloser{a.Body, r.Deadline}
				return a
			}
			p.assertEcho(t, testRequest())
			next := testRequest()
			next.Deadline = next.Deadline.Add(time.Minute)
			p.assertEcho(t, next)
			assert.Equal(t, p.openedStreams.Load(), int32(1))
		})
	})
	t.Run("not after the idle timeout", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			p.assertEcho(t, testRequest())
			time.Sleep(idleTimeout + time.Second)
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.openedStreams.Load(), int32(2))
		})
	})
	t.Run("not for bulk requests", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			for range 2 {
				r := testRequest()
				r.Class = "bulk"
				p.assertEcho(t, r)
			}
			assert.Equal(t, p.openedStreams.Load(), int32(2))
		})
	})
	t.Run("not when the node begins to drain during the exchange", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				p.tracker.Close()
				return echoID(ctx, r)
			}
			p.assertEcho(t, testRequest())
			p.client.Forward(t.Context(), "peer", testRequest()).Close()
			assert.Equal(t, p.openedStreams.Load(), int32(2))
		})
	})
	t.Run("not when the node is draining", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			p.assertEcho(t, testRequest())
			p.tracker.Close()
			for range 2 {
				a := p.client.Forward(t.Context(), "peer", testRequest())
				assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
				assert.Equal(t, a.Reason, exchanger.ReasonNodeDraining)
			}
			assert.Equal(t, p.openedStreams.Load(), int32(2))
		})
	})
}
