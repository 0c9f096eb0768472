package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/pacer"
	"gentianbarrow.example/internal/retrier"
)

const longAnswerBytes = 200_000

// endNoter notes when its body has been read to its end.
type endNoter struct {
	io.Reader
	endedAt *atomic.Pointer[time.Time]
}

func (n endNoter) Read(p []byte) (int, error) {
	count, err := n.Reader.Read(p)
	if err != nil {
		now := time.Now()
		n.endedAt.CompareAndSwap(nil, &now)
	}
	return count, err
}

func answerOf(body io.Reader, length int64) *exchanger.Answer {
	return &exchanger.Answer{Outcome: retrier.OutcomeDone, Status: http.StatusOK, ContentLength: length, Body: io.NopCloser(body)}
}

// runPaced runs a test with a peer whose link has 11 Mbit/s and whose answers are long.
func runPaced(t *testing.T, f func(t *testing.T, p *forwarderPair, endedAt *atomic.Pointer[time.Time])) {
	t.Helper()
	runPair(t, func(t *testing.T, p *forwarderPair) {
		var endedAt atomic.Pointer[time.Time]
		p.serving.cfg.Link = pacer.New(11)
		p.execute = func(context.Context, *exchanger.Request) *exchanger.Answer {
			return answerOf(endNoter{bytes.NewReader(make([]byte, longAnswerBytes)), &endedAt}, longAnswerBytes)
		}
		f(t, p, &endedAt)
	})
}

// assertWhole forwards a request and checks that its answer is complete.
func assertWhole(t *testing.T, p *forwarderPair) {
	t.Helper()
	a := p.client.Forward(t.Context(), "peer", testRequest())
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), longAnswerBytes)
}

func TestLongAnswersAreBuffered(t *testing.T) {
	t.Run("the target is done while the link still sends", func(t *testing.T) {
		runPaced(t, func(t *testing.T, p *forwarderPair, endedAt *atomic.Pointer[time.Time]) {
			began := time.Now()
			assertWhole(t, p)
			assert.Assert(t, endedAt.Load().Sub(began) < 10*time.Millisecond, "target done after %s", endedAt.Load().Sub(began))
			// 200 kB take 145 ms at 11 Mbit/s.
			assert.Assert(t, time.Since(began) >= 145*time.Millisecond, "answer sent after %s", time.Since(began))
		})
	})
	t.Run("an answer without a stated length is buffered if those of its route are long", func(t *testing.T) {
		runPaced(t, func(t *testing.T, p *forwarderPair, endedAt *atomic.Pointer[time.Time]) {
			assertWhole(t, p)
			p.execute = func(context.Context, *exchanger.Request) *exchanger.Answer {
				return answerOf(endNoter{bytes.NewReader(make([]byte, longAnswerBytes)), endedAt}, -1)
			}
			endedAt.Store(nil)
			began := time.Now()
			assertWhole(t, p)
			assert.Assert(t, endedAt.Load().Sub(began) < 10*time.Millisecond, "target done after %s", endedAt.Load().Sub(began))
		})
	})
	t.Run("a short answer without a stated length is not", func(t *testing.T) {
		runPaced(t, func(t *testing.T, p *forwarderPair, _ *atomic.Pointer[time.Time]) {
			p.execute = echoID
			p.serving.bufferedAnswers.Store(maxBufferedAnswers)
			p.assertEcho(t, testRequest())
			assert.Equal(t, p.serving.bufferedAnswers.Load(), int32(maxBufferedAnswers))
		})
	})
	t.Run("a peer that goes away ends the reading of the answer", func(t *testing.T) {
		runPaced(t, func(t *testing.T, p *forwarderPair, _ *atomic.Pointer[time.Time]) {
			var ended atomic.Bool
			p.execute = func(ctx context.Context, _ *exchanger.Request) *exchanger.Answer {
				return answerOf(io.MultiReader(bytes.NewReader(make([]byte, longAnswerBytes)), endlessBody{ctx, &ended}), 2*longAnswerBytes)
			}
			a := p.client.Forward(t.Context(), "peer", testRequest())
			_, err := io.ReadFull(a.Body, make([]byte, 1000))
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			a.Close()
			time.Sleep(time.Second)
			assert.Assert(t, ended.Load())
			assert.Equal(t, p.serving.bufferedAnswers.Load(), int32(0))
		})
	})
	t.Run("answers beyond those that may be buffered stay at the target", func(t *testing.T) {
		runPaced(t, func(t *testing.T, p *forwarderPair, endedAt *atomic.Pointer[time.Time]) {
			p.serving.bufferedAnswers.Store(maxBufferedAnswers)
			began := time.Now()
			assertWhole(t, p)
			assert.Assert(t, endedAt.Load().Sub(began) > 100*time.Millisecond, "target done after %s", endedAt.Load().Sub(began))
		})
	})
}
