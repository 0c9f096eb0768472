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

// pipeListener accepts connections made by connect.
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

func TestServeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newParts(ctx)
		ln := newPipeListener()
		serve(p, "admin", newServer(http.NotFoundHandler()), ln, directClose)
		silent := ln.connect()
		synctest.Wait()
		begun := time.Now()
		cancel()
		err := p.group.Wait()
		assert.Assert(t, err == nil || errors.Is(err, net.ErrClosed), "%v", err)
		assert.Assert(t, time.Since(begun) <= directClose, "a connection on which nothing has come held the server for %s", time.Since(begun))
		assert.NilError(t, silent.Close())
	})
}

// TestStopFitsIntoGrace adds up what a stop takes at the most, in the least grace that the platform has.
func TestStopFitsIntoGrace(t *testing.T) {
	const grace = 6 * time.Second
	a, err := newAdapter(loader.Settings{
		PlatformAPI:    loader.PlatformObjects,
		PlatformBounds: []string{"grace=6s", "heartbeat=1500ms", "budget_window=10s", "retry_budget_ratio=0.2", "budget_slack=60"},
	})
	assert.NilError(t, err)
	assert.Assert(t, a.closeTimeout > 0, "each server ends in a bounded time")
	cut := time.Duration(float64(grace) * cutShare)
	end := directFarewell + a.closeTimeout + endMargin
	assert.Assert(t, cut+end < grace)
	assert.Assert(t, lingerTime+settleTime+end < grace)
}

// TestPartThatHangs shows that a part which does not end holds up the node no longer than the others may take.
func TestPartThatHangs(t *testing.T) {
	const limit, hangs = 500 * time.Millisecond, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newParts(ctx)
		p.start("board", func(ctx context.Context) error {
			<-ctx.Done()
			time.Sleep(hangs)
			return nil
		})
		p.start("peers", func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		})
		cancel()
		begun, finished := time.Now(), make(chan struct{})
		left, err := p.wait(limit, func() { close(finished) })
		assert.NilError(t, err)
		assert.Equal(t, left, "board")
		assert.Equal(t, time.Since(begun), limit)
		// What is left goes on until the process ends.
		<-finished
		assert.Equal(t, time.Since(begun), hangs)
	})
}
