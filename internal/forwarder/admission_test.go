package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// uploadRequest returns a bulk request with a body.
func uploadRequest(id string, body io.Reader, length int64) *exchanger.Request {
	r := testRequest()
	r.ID, r.Method, r.Class = id, http.MethodPost, snapshotter.ClassBulk
	r.Body, r.ContentLength = body, length
	return r
}

// slowBody is a body whose first read pauses. It records whether it was read.
type slowBody struct {
	pause   time.Duration
	part    *strings.Reader
	once    sync.Once
	wasRead atomic.Bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	b.once.Do(func() {
		b.wasRead.Store(true)
		time.Sleep(b.pause)
	})
	return b.part.Read(p)
}

func newSlowBody(pause time.Duration, text string) *slowBody {
	return &slowBody{pause: pause, part: strings.NewReader(text)}
}

// forwardTimed forwards a request, reads its answer, and returns the answer and the time that this took.
func forwardTimed(t *testing.T, p *forwarderPair, r *exchanger.Request) (*exchanger.Answer, time.Duration) {
	t.Helper()
	start := time.Now()
	a := p.client.Forward(t.Context(), "peer", r)
	if a.Outcome == retrier.OutcomeDone {
		_, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
	}
	a.Close()
	return a, time.Since(start)
}

func TestBodyAdmission(t *testing.T) {
	t.Run("a small body is received completely before its request asks for a slot", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			body := newSlowBody(300*time.Millisecond, "picture")
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				assert.Assert(t, body.wasRead.Load())
				start := time.Now()
				got, err := io.ReadAll(r.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(got), "picture")
				assert.Equal(t, time.Since(start), time.Duration(0), "no slot is held while bytes are received")
				return echoID(ctx, r)
			}
			a, _ := forwardTimed(t, p, uploadRequest("r-1", body, int64(len("picture"))))
			assert.Equal(t, a.Outcome, retrier.OutcomeDone)
		})
	})
	t.Run("a long body is streamed to the target", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			long := bytes.Repeat([]byte("0123456789"), maxSpoolBytes/4)
			var got []byte
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				got, _ = io.ReadAll(r.Body)
				return echoID(ctx, &exchanger.Request{ID: r.ID})
			}
			forwardTimed(t, p, uploadRequest("r-1", bytes.NewReader(long), -1))
			assert.Assert(t, bytes.Equal(got, long))
		})
	})
	t.Run("a body whose request is known not to be served is not asked for", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			p.precheck = func(*exchanger.Request, int) *exchanger.Answer {
				return exchanger.NotRun(exchanger.Reason(limiter.ReasonRateLimited), nil)
			}
			body := newSlowBody(time.Second, "picture")
			a, took := forwardTimed(t, p, uploadRequest("r-1", body, int64(len("picture"))))
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Equal(t, a.Reason, exchanger.Reason(limiter.ReasonRateLimited))
			assert.Assert(t, !body.wasRead.Load())
			assert.Equal(t, took, time.Duration(0))
		})
	})
	t.Run("few bodies are received at a time", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			const sendTime = 200 * time.Millisecond
			var group sync.WaitGroup
			start := time.Now()
			for range 3 * maxConcurrentBodies {
				group.Go(func() { forwardTimed(t, p, uploadRequest("r", newSlowBody(sendTime, "x"), 1)) })
			}
			group.Wait()
			assert.Equal(t, time.Since(start), 3*sendTime)
		})
	})
	t.Run("the load in answers includes bodies that are being received or queued", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				a := echoID(ctx, r)
				a.Load = &limiter.Load{Slots: 9, Queued: 1}
				return a
			}
			var group sync.WaitGroup
			for range maxConcurrentBodies + 3 {
				group.Go(func() { forwardTimed(t, p, uploadRequest("r", newSlowBody(200*time.Millisecond, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			a, _ := forwardTimed(t, p, testRequest())
			assert.Equal(t, a.Load.Queued, 1+maxConcurrentBodies+3)
			group.Wait()
			a, _ = forwardTimed(t, p, testRequest())
			assert.Equal(t, a.Load.Queued, 1)
		})
	})
	t.Run("a slow sender delays others for a bounded time", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			var group sync.WaitGroup
			for range maxConcurrentBodies {
				group.Go(func() { forwardTimed(t, p, uploadRequest("r", newSlowBody(5*time.Second, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			_, elapsed := forwardTimed(t, p, uploadRequest("r", strings.NewReader("x"), 1))
			assert.Equal(t, elapsed, maxBodyWait-time.Millisecond)
			group.Wait()
		})
	})
	t.Run("a body that would be received too late is refused before any of it is sent", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			var group sync.WaitGroup
			for range maxConcurrentBodies {
				group.Go(func() { forwardTimed(t, p, uploadRequest("r", newSlowBody(900*time.Millisecond, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			body := newSlowBody(0, "x")
			r := uploadRequest("r-late", body, 1)
			r.SoftDeadline = time.Now().Add(200 * time.Millisecond)
			a, elapsed := forwardTimed(t, p, r)
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Equal(t, a.Reason, exchanger.Reason(limiter.ReasonWaitedTooLong))
			assert.Assert(t, !body.wasRead.Load())
			assert.Assert(t, elapsed <= 200*time.Millisecond)
			group.Wait()
		})
	})
	t.Run("a body is refused if its answer would be too late", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			const answerTime = 400 * time.Millisecond
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				time.Sleep(answerTime)
				return echoID(ctx, r)
			}
			forwardTimed(t, p, uploadRequest("r-first", strings.NewReader("x"), 1))
			var group sync.WaitGroup
			for range maxConcurrentBodies {
				group.Go(func() { forwardTimed(t, p, uploadRequest("r", newSlowBody(300*time.Millisecond, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			r := uploadRequest("r-late", strings.NewReader("x"), 1)
			r.SoftDeadline = time.Now().Add(answerTime + 200*time.Millisecond)
			a, elapsed := forwardTimed(t, p, r)
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Assert(t, elapsed <= 200*time.Millisecond)
			r = uploadRequest("r-in-time", strings.NewReader("x"), 1)
			r.SoftDeadline = time.Now().Add(answerTime + 400*time.Millisecond)
			a, _ = forwardTimed(t, p, r)
			assert.Equal(t, a.Outcome, retrier.OutcomeDone)
			group.Wait()
		})
	})
	t.Run("a request whose caller leaves while its body is held back does not run", func(t *testing.T) {
		runPair(t, func(t *testing.T, p *forwarderPair) {
			var executed atomic.Bool
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				if r.ID == "r-gone" {
					executed.Store(true)
				}
				return echoID(ctx, r)
			}
			var group sync.WaitGroup
			for range maxConcurrentBodies {
				group.Go(func() { forwardTimed(t, p, uploadRequest("r", newSlowBody(500*time.Millisecond, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			a := p.client.Forward(ctx, "peer", uploadRequest("r-gone", strings.NewReader("x"), 1))
			cancel()
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			group.Wait()
			synctest.Wait()
			assert.Assert(t, !executed.Load())
		})
	})
	t.Run("a connection lost before the body is asked for yields outcome not-run", func(t *testing.T) {
		var group sync.WaitGroup
		defer group.Wait()
		body := newSlowBody(0, "x")
		a := forwarderTo(&group, readRequestHeader).Forward(t.Context(), "peer", uploadRequest("r-1", body, 1))
		assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
		assert.Assert(t, !body.wasRead.Load())
	})
	t.Run("a connection lost after the body is asked for yields outcome unknown", func(t *testing.T) {
		var group sync.WaitGroup
		defer group.Wait()
		a := forwarderTo(&group, func(s *linker.Stream) {
			readRequestHeader(s)
			_ = encoder.Write(s, &wirepb.ForwardResponse{RequestId: "r-1", SendBody: true}, encoder.MaxHeaderBytes)
		}).Forward(t.Context(), "peer", uploadRequest("r-1", strings.NewReader("x"), 1))
		assert.Equal(t, a.Outcome, retrier.OutcomeUnknown)
	})
}
