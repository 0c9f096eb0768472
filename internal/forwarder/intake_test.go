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

// upload is a bulk request with a body.
func upload(id string, body io.Reader, length int64) *exchanger.Request {
	r := testRequest()
	r.ID, r.Method, r.Class = id, http.MethodPost, snapshotter.ClassBulk
	r.Body, r.ContentLength = body, length
	return r
}

// slowBody is a body whose sender pauses before its only part, and notes that it was read.
type slowBody struct {
	pause time.Duration
	part  *strings.Reader
	once  sync.Once
	read  atomic.Bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	b.once.Do(func() {
		b.read.Store(true)
		time.Sleep(b.pause)
	})
	return b.part.Read(p)
}

func slow(pause time.Duration, text string) *slowBody {
	return &slowBody{pause: pause, part: strings.NewReader(text)}
}

// play sends the upload and returns its answer and how long it took.
func play(t *testing.T, p *pair, r *exchanger.Request) (*exchanger.Answer, time.Duration) {
	t.Helper()
	begun := time.Now()
	a := p.near.Forward(t.Context(), "peer", r)
	if a.Outcome == retrier.OutcomeDone {
		_, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
	}
	a.Close()
	return a, time.Since(begun)
}

func TestIntake(t *testing.T) {
	t.Run("the target's node has the whole of a small body before the request asks for a slot", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			body := slow(300*time.Millisecond, "picture")
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				assert.Assert(t, body.read.Load())
				begun := time.Now()
				got, err := io.ReadAll(r.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(got), "picture")
				assert.Equal(t, time.Since(begun), time.Duration(0), "no slot waits for bytes")
				return echoID(ctx, r)
			}
			a, _ := play(t, p, upload("r-1", body, int64(len("picture"))))
			assert.Equal(t, a.Outcome, retrier.OutcomeDone)
		})
	})
	t.Run("a long body is passed on as it comes", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			long := bytes.Repeat([]byte("0123456789"), spoolBytes/4)
			var got []byte
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				got, _ = io.ReadAll(r.Body)
				return echoID(ctx, &exchanger.Request{ID: r.ID})
			}
			play(t, p, upload("r-1", bytes.NewReader(long), -1))
			assert.Assert(t, bytes.Equal(got, long))
		})
	})
	t.Run("few bodies come at a time", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			const each = 200 * time.Millisecond
			var group sync.WaitGroup
			begun := time.Now()
			for range 3 * intakeBodies {
				group.Go(func() { play(t, p, upload("r", slow(each, "x"), 1)) })
			}
			group.Wait()
			assert.Equal(t, time.Since(begun), 3*each)
		})
	})
	t.Run("the load that answers tell counts the bodies that come and wait", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				a := echoID(ctx, r)
				a.Load = &limiter.Load{Slots: 9, Queued: 1}
				return a
			}
			var group sync.WaitGroup
			for range intakeBodies + 3 {
				group.Go(func() { play(t, p, upload("r", slow(200*time.Millisecond, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			a, _ := play(t, p, testRequest())
			assert.Equal(t, a.Load.Queued, 1+intakeBodies+3)
			group.Wait()
			a, _ = play(t, p, testRequest())
			assert.Equal(t, a.Load.Queued, 1)
		})
	})
	t.Run("a slow sender keeps others waiting for a bounded time", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			var group sync.WaitGroup
			for range intakeBodies {
				group.Go(func() { play(t, p, upload("r", slow(5*time.Second, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			_, took := play(t, p, upload("r", strings.NewReader("x"), 1))
			assert.Equal(t, took, intakeTime-time.Millisecond)
			group.Wait()
		})
	})
	t.Run("a body that would come too late is refused before a byte of it is sent", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			var group sync.WaitGroup
			for range intakeBodies {
				group.Go(func() { play(t, p, upload("r", slow(900*time.Millisecond, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			body := slow(0, "x")
			r := upload("r-late", body, 1)
			r.SoftDeadline = time.Now().Add(200 * time.Millisecond)
			a, took := play(t, p, r)
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Equal(t, a.Reason, exchanger.Reason(limiter.ReasonWaitedTooLong))
			assert.Assert(t, !body.read.Load())
			assert.Assert(t, took <= 200*time.Millisecond)
			group.Wait()
		})
	})
	t.Run("a body that would come in time, but not its answer, is refused as well", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			const work = 400 * time.Millisecond
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				time.Sleep(work)
				return echoID(ctx, r)
			}
			play(t, p, upload("r-first", strings.NewReader("x"), 1))
			var group sync.WaitGroup
			for range intakeBodies {
				group.Go(func() { play(t, p, upload("r", slow(300*time.Millisecond, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			r := upload("r-late", strings.NewReader("x"), 1)
			r.SoftDeadline = time.Now().Add(work + 200*time.Millisecond)
			a, took := play(t, p, r)
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Assert(t, took <= 200*time.Millisecond)
			r = upload("r-in-time", strings.NewReader("x"), 1)
			r.SoftDeadline = time.Now().Add(work + 400*time.Millisecond)
			a, _ = play(t, p, r)
			assert.Equal(t, a.Outcome, retrier.OutcomeDone)
			group.Wait()
		})
	})
	t.Run("a caller that leaves while its body is held back is not run", func(t *testing.T) {
		inPair(t, func(t *testing.T, p *pair) {
			var ran atomic.Bool
			p.execute = func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				if r.ID == "r-gone" {
					ran.Store(true)
				}
				return echoID(ctx, r)
			}
			var group sync.WaitGroup
			for range intakeBodies {
				group.Go(func() { play(t, p, upload("r", slow(500*time.Millisecond, "x"), 1)) })
			}
			time.Sleep(time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			a := p.near.Forward(ctx, "peer", upload("r-gone", strings.NewReader("x"), 1))
			cancel()
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			group.Wait()
			synctest.Wait()
			assert.Assert(t, !ran.Load())
		})
	})
	t.Run("a link that is lost before the body was asked for proves that the request has not run", func(t *testing.T) {
		var group sync.WaitGroup
		defer group.Wait()
		body := slow(0, "x")
		a := peer(&group, readExchange).Forward(t.Context(), "peer", upload("r-1", body, 1))
		assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
		assert.Assert(t, !body.read.Load())
	})
	t.Run("one that is lost afterwards proves nothing", func(t *testing.T) {
		var group sync.WaitGroup
		defer group.Wait()
		a := peer(&group, func(s *linker.Stream) {
			readExchange(s)
			_ = encoder.Write(s, &wirepb.ForwardResponse{RequestId: "r-1", SendBody: true}, encoder.MaxHeaderBytes)
		}).Forward(t.Context(), "peer", upload("r-1", strings.NewReader("x"), 1))
		assert.Equal(t, a.Outcome, retrier.OutcomeUnknown)
	})
}
