package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/shedder"
)

// heldConn is a connection whose reader gets nothing while it is held.
type heldConn struct {
	net.Conn
	// token is taken while the connection is held and for each read.
	token chan struct{}
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	<-c.token
	c.token <- struct{}{}
	return n, err
}

// hold holds the connection for a time.
func (c *heldConn) hold(d time.Duration) {
	<-c.token
	time.AfterFunc(d, func() { c.token <- struct{}{} })
}

// lateLink is a link between two nodes whose clocks differ.
type lateLink struct {
	client *Forwarder
	// remote is the serving node's end.
	remote *heldConn
	// delay is how late the serving node runs, standing by how much work always waits there.
	delay, standing time.Duration
	// answerTakes is how long the serving node takes for an answer, unless it is aborted.
	answerTakes time.Duration
	// ran holds the time left of each request that the serving node ran.
	ran []time.Duration
}

func runLateLink(t *testing.T, f func(t *testing.T, l *lateLink)) {
	t.Helper()
	// yamux pools timers, which must not pass from one synctest bubble to the next.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &lateLink{}
		start := time.Now()
		serving := New(Config{
			Tracker: drainer.NewTracker(),
			Clock:   func() time.Duration { return time.Hour + time.Since(start) },
			Delay:   func() time.Duration { return l.delay },
			Guard: &shedder.Guard{
				Lateness: func() shedder.Lateness {
					return shedder.Lateness{Standing: l.standing, Tolerance: 10 * time.Millisecond}
				},
				Spread: func() float64 { return 0.5 },
			},
			Execute: func(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
				l.ran = append(l.ran, time.Until(r.Deadline))
				select {
				case <-ctx.Done():
					return exchanger.Unknown(exchanger.ReasonDeadline, ctx.Err())
				case <-time.After(l.answerTakes):
				}
				return &exchanger.Answer{Outcome: retrier.OutcomeDone, Status: http.StatusOK, Body: http.NoBody}
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
			l.remote = &heldConn{Conn: remote, token: make(chan struct{}, 1)}
			l.remote.token <- struct{}{}
			group.Go(func() { server.ServeConn(ctx, l.remote) })
			return local, nil
		}
		l.client = New(Config{Open: client.OpenWith, Incarnation: 7, Clock: func() time.Duration { return 9*time.Hour + time.Since(start) }})
		f(t, l)
		client.Close()
		cancel()
		group.Wait()
	})
}

// forward sends a request with half a second left and returns its answer.
func (l *lateLink) forward(t *testing.T) *exchanger.Answer {
	t.Helper()
	r := testRequest()
	r.Deadline = time.Now().Add(500 * time.Millisecond)
	a := l.client.Forward(t.Context(), "peer", r)
	a.Close()
	return a
}

// TestRequestReadLate guards against a request that lies unread at the target's node until
// its caller has left, and then gets all the time that it had when it was sent.
func TestRequestReadLate(t *testing.T) {
	t.Run("a request that is read in time keeps its time", func(t *testing.T) {
		runLateLink(t, func(t *testing.T, l *lateLink) {
			l.forward(t)
			l.forward(t)
			assert.DeepEqual(t, l.ran, []time.Duration{500 * time.Millisecond, 500 * time.Millisecond})
		})
	})
	t.Run("a request that lay unread has less time left", func(t *testing.T) {
		runLateLink(t, func(t *testing.T, l *lateLink) {
			l.forward(t)
			l.remote.hold(200 * time.Millisecond)
			l.forward(t)
			assert.DeepEqual(t, l.ran, []time.Duration{500 * time.Millisecond, 300 * time.Millisecond})
		})
	})
	t.Run("a request whose caller has left by then does not run", func(t *testing.T) {
		runLateLink(t, func(t *testing.T, l *lateLink) {
			l.forward(t)
			l.remote.hold(1550 * time.Millisecond)
			l.forward(t)
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(l.ran), 1)
		})
	})
	t.Run("a node that is too late for a request refuses it as not run", func(t *testing.T) {
		runLateLink(t, func(t *testing.T, l *lateLink) {
			l.forward(t)
			l.delay = 300 * time.Millisecond
			a := l.forward(t)
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Equal(t, a.Reason, exchanger.ReasonNodeLate)
			assert.Assert(t, a.RetryAt.After(time.Now()))
			assert.Equal(t, len(l.ran), 1)
		})
	})
	t.Run("a node that is short of processor time rejects requests of peers later than new ones", func(t *testing.T) {
		runLateLink(t, func(t *testing.T, l *lateLink) {
			l.standing = 30 * time.Millisecond
			assert.Equal(t, l.forward(t).Outcome, retrier.OutcomeDone)
			l.standing = 90 * time.Millisecond
			a := l.forward(t)
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Equal(t, a.Reason, exchanger.ReasonNodeLate)
			assert.Equal(t, len(l.ran), 1)
		})
	})
	t.Run("the first request of a sender counts as late as the node runs", func(t *testing.T) {
		runLateLink(t, func(t *testing.T, l *lateLink) {
			l.delay = 200 * time.Millisecond
			l.forward(t)
			assert.DeepEqual(t, l.ran, []time.Duration(nil))
			l.delay = 50 * time.Millisecond
			l.forward(t)
			assert.DeepEqual(t, l.ran, []time.Duration{500 * time.Millisecond})
		})
	})
}

// TestAnswerOfUnreadRequestIsWhole guards against an answer that is broken off at a
// deadline which was estimated too early.
func TestAnswerOfUnreadRequestIsWhole(t *testing.T) {
	runLateLink(t, func(t *testing.T, l *lateLink) {
		l.forward(t)
		l.answerTakes = 400 * time.Millisecond
		l.remote.hold(200 * time.Millisecond)
		r := testRequest()
		r.Deadline, r.AbortAt = time.Now().Add(500*time.Millisecond), time.Now().Add(800*time.Millisecond)
		a := l.client.Forward(t.Context(), "peer", r)
		assert.Equal(t, a.Outcome, retrier.OutcomeDone, "reason %q, error %v", a.Reason, a.Err)
		_, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		a.Close()
		assert.DeepEqual(t, l.ran, []time.Duration{500 * time.Millisecond, 300 * time.Millisecond})
	})
}
