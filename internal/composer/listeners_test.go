package composer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/loader"
)

// pipeListener accepts the connections that connect makes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) connect() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// TestServeStops checks that a connection on which no request has arrived does not
// delay the end of a server beyond its close timeout.
func TestServeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newRunGroup(ctx)
		ln := newPipeListener()
		serve(g, "admin", newServer(http.NotFoundHandler()), ln, directCloseTimeout)
		idle := ln.connect()
		synctest.Wait()
		start := time.Now()
		cancel()
		err := g.group.Wait()
		assert.Assert(t, err == nil || errors.Is(err, net.ErrClosed), "%v", err)
		assert.Assert(t, time.Since(start) <= directCloseTimeout, "a connection without a request delayed the shutdown by %s", time.Since(start))
		assert.NilError(t, idle.Close())
	})
}

// TestStopFitsIntoGrace checks that the longest possible stop fits into the shortest
// grace period of the platform.
func TestStopFitsIntoGrace(t *testing.T) {
	const grace = 6 * time.Second
	a, err := newAdapter(loader.Settings{
		PlatformAPI:    loader.PlatformObjects,
		PlatformBounds: []string{"grace=6s", "heartbeat=1500ms", "budget_window=10s", "retry_budget_ratio=0.2", "budget_slack=60"},
	})
	assert.NilError(t, err)
	assert.Assert(t, a.closeTimeout > 0, "the close timeout of the servers must be bounded")
	drainTimeout := time.Duration(float64(grace) * drainTimeoutShare)
	shutdownTime := directLeavePeriod + a.closeTimeout + stopMargin
	assert.Assert(t, drainTimeout+shutdownTime < grace)
	assert.Assert(t, acceptCallersPeriod+quietPeriod+shutdownTime < grace)
}

// TestHangingComponent checks that a component which does not end delays the stop of
// the node no longer than the limit.
func TestHangingComponent(t *testing.T) {
	const limit, hangTime = 500 * time.Millisecond, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newRunGroup(ctx)
		g.start("board", func(ctx context.Context) error {
			<-ctx.Done()
			time.Sleep(hangTime)
			return nil
		})
		g.start("peers", func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		})
		cancel()
		start, finished := time.Now(), make(chan struct{})
		unfinished, err := g.wait(limit, func() { close(finished) })
		assert.NilError(t, err)
		assert.Equal(t, unfinished, "board")
		assert.Equal(t, time.Since(start), limit)
		// The component goes on in the background, and finish runs after it.
		<-finished
		assert.Equal(t, time.Since(start), hangTime)
	})
}
