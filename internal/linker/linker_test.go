package linker

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

// echoPeer is a peer that echoes what it receives and whose connections can become silent.
type echoPeer struct {
	linker *Linker
	mu     sync.Mutex
	silent *atomic.Bool
	dials  int
	group  sync.WaitGroup
}

func newEchoPeer() *echoPeer {
	e := &echoPeer{linker: New()}
	e.linker.Handle("echo", func(_ context.Context, s *Stream) { _, _ = io.Copy(s, s.Reader) })
	e.linker.Handle("fail", func(context.Context, *Stream) {})
	return e
}

func (e *echoPeer) dial(ctx context.Context, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	e.group.Go(func() { e.linker.ServeConn(ctx, server) })
	c := &silentConn{Conn: client, closed: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dials++
	e.silent = &c.silent
	return c, nil
}

// silentConn can stop transferring data in both directions without closing.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// failingConn writes frame headers and fails to write the bodies.
type failingConn struct{ net.Conn }

func (c failingConn) Write(b []byte) (int, error) {
	if len(b) != frameHeaderBytes {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// runWithPeer runs a test with a linker and a peer under fake time.
func runWithPeer(t *testing.T, f func(t *testing.T, l *Linker, e *echoPeer)) {
	t.Helper()
	// yamux pools timers, which must not pass from one synctest bubble to the next.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := newEchoPeer()
		l := New()
		l.Dial = func(context.Context, string) (net.Conn, error) { return e.dial(ctx, "") }
		f(t, l, e)
		l.Close()
		cancel()
		e.group.Wait()
	})
}

func assertEcho(t *testing.T, s *Stream, text string) {
	t.Helper()
	_, err := io.WriteString(s, text)
	assert.NilError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(s.Reader, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), text)
}

func open(t *testing.T, l *Linker, traffic Traffic) *Stream {
	t.Helper()
	s, err := l.Open(t.Context(), "peer", traffic, "echo")
	assert.NilError(t, err)
	return s
}

func TestOpen(t *testing.T) {
	t.Run("streams of one class share a connection, streams of different classes do not", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, e *echoPeer) {
			for _, traffic := range []Traffic{TrafficShort, TrafficShort, TrafficBulk} {
				s := open(t, l, traffic)
				assertEcho(t, s, "hello")
				s.Abort()
			}
			assert.Equal(t, e.dials, 2)
		})
	})
	t.Run("a peer that cannot be dialled has received nothing", func(t *testing.T) {
		l := New()
		l.Dial = func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
		_, err := l.Open(t.Context(), "peer", TrafficShort, "echo")
		var unreachable *UnreachableError
		assert.Assert(t, errors.As(err, &unreachable))
	})
	t.Run("a peer whose connection fails during the first message may have received it", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, e *echoPeer) {
			dial := l.Dial
			l.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				c, err := dial(ctx, address)
				return failingConn{c}, err
			}
			_, err := l.Open(t.Context(), "peer", TrafficShort, "echo")
			var interrupted *InterruptedError
			assert.Assert(t, errors.As(err, &interrupted), "got %v", err)
			assert.Equal(t, e.dials, 1)
		})
	})
	t.Run("abort ends a pending read", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, _ *echoPeer) {
			s := open(t, l, TrafficShort)
			stop := context.AfterFunc(t.Context(), s.Abort)
			defer stop()
			timer := time.AfterFunc(time.Second, s.Abort)
			defer timer.Stop()
			_, err := s.Reader.ReadByte()
			assert.Assert(t, err != nil)
		})
	})
}

// TestOpenAfterClose guards against a session that is opened while its linker closes, and
// that nobody closes or waits for then.
func TestOpenAfterClose(t *testing.T) {
	l := New()
	local, peer := net.Pipe()
	l.Dial = func(context.Context, string) (net.Conn, error) {
		l.Close()
		return local, nil
	}
	_, err := l.Open(t.Context(), "peer", TrafficShort, "echo")
	var unreachable *UnreachableError
	var closed *ClosedError
	assert.Assert(t, errors.As(err, &unreachable) && errors.As(err, &closed), "%v", err)
	_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = peer.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the connection stays open")
}

// TestWaitForConnection guards against a request that outlives its deadline because
// another one is connecting to the same peer.
func TestWaitForConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New()
		l.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		open := func(timeout time.Duration) time.Duration {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			start := time.Now()
			_, err := l.Open(ctx, "peer", TrafficShort, "echo")
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			return time.Since(start)
		}
		var group sync.WaitGroup
		group.Go(func() { open(2 * time.Second) })
		synctest.Wait()
		assert.Equal(t, open(500*time.Millisecond), 500*time.Millisecond)
		group.Wait()
		l.Close()
	})
}

// TestPeerThatAcceptsLate guards against requests under way that are lost because the peer,
// which is short of processor time, accepts no further streams for some seconds.
func TestPeerThatAcceptsLate(t *testing.T) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		cfg := yamux.DefaultConfig()
		cfg.EnableKeepAlive, cfg.LogOutput = false, io.Discard
		peer, err := yamux.Server(remote, cfg)
		assert.NilError(t, err)
		l := New()
		l.Dial = func(context.Context, string) (net.Conn, error) { return local, nil }
		underWay := open(t, l, TrafficShort)
		served, err := peer.Accept()
		assert.NilError(t, err)
		for range cfg.AcceptBacklog {
			open(t, l, TrafficShort)
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		_, err = l.Open(ctx, "peer", TrafficShort, "echo")
		var unreachable *UnreachableError
		assert.Assert(t, errors.As(err, &unreachable), "%v", err)
		assert.Equal(t, time.Since(start), 250*time.Millisecond)
		for range maxOpening - 1 {
			_, err = l.Open(ctx, "peer", TrafficShort, "echo")
			assert.ErrorIs(t, err, context.DeadlineExceeded)
		}
		_, err = l.Open(t.Context(), "peer", TrafficShort, "echo")
		var busy *BusyError
		assert.Assert(t, errors.As(err, &unreachable) && errors.As(err, &busy), "%v", err)
		time.Sleep(5 * time.Second)
		_, err = io.WriteString(served, "answer")
		assert.NilError(t, err)
		got := make([]byte, len("answer"))
		_, err = io.ReadFull(underWay.Reader, got)
		assert.NilError(t, err)
		_ = peer.Close()
		l.Close()
	})
}

func TestSilentSession(t *testing.T) {
	t.Run("new streams avoid a silent session that was in use", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, e *echoPeer) {
			assertEcho(t, open(t, l, TrafficShort), "before")
			e.silent.Store(true)
			time.Sleep(silenceTimeout + pingInterval)
			assertEcho(t, open(t, l, TrafficShort), "after")
			assert.Equal(t, e.dials, 2)
		})
	})
	t.Run("new streams avoid a silent control session within half of the convergence target", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, e *echoPeer) {
			const convergenceTarget = 17 * time.Second
			assertEcho(t, open(t, l, TrafficControl), "before")
			e.silent.Store(true)
			time.Sleep(convergenceTarget / 2)
			assertEcho(t, open(t, l, TrafficControl), "after")
			assert.Equal(t, e.dials, 2)
		})
	})
	t.Run("streams of a silent session end within a bounded time", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, e *echoPeer) {
			s := open(t, l, TrafficShort)
			assertEcho(t, s, "before")
			e.silent.Store(true)
			start := time.Now()
			_, err := s.Reader.ReadByte()
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(start) <= pingInterval+writeTimeout)
		})
	})
	t.Run("an unused session is checked before it is used again", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, e *echoPeer) {
			open(t, l, TrafficShort).Abort()
			time.Sleep(recentUsePeriod * 2)
			e.silent.Store(true)
			start := time.Now()
			assertEcho(t, open(t, l, TrafficShort), "after")
			assert.Assert(t, time.Since(start) <= verifyTimeout)
			assert.Equal(t, e.dials, 2)
		})
	})
	t.Run("an unused session that answers is used again", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, e *echoPeer) {
			open(t, l, TrafficShort).Abort()
			time.Sleep(recentUsePeriod * 2)
			assertEcho(t, open(t, l, TrafficShort), "after")
			assert.Equal(t, e.dials, 1)
		})
	})
	t.Run("a session that receives bytes is not pinged, one that receives none is", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, _ *echoPeer) {
			var sent atomic.Int64
			l.countBytes = func(_ Traffic, d Direction, n int) {
				if d == DirectionSent {
					sent.Add(int64(n))
				}
			}
			s := open(t, l, TrafficControl)
			defer s.Abort()
			const exchanges = 20
			sendByte := func() {
				_, err := s.Write([]byte("b"))
				assert.NilError(t, err)
				_, err = s.Reader.ReadByte()
				assert.NilError(t, err)
			}
			sendByte()
			time.Sleep(time.Second)
			before := sent.Load()
			for range exchanges {
				sendByte()
				time.Sleep(time.Second)
			}
			pingAnswers := int(exchanges * time.Second / serverPingInterval)
			assert.Equal(t, sent.Load()-before, int64(exchanges*(frameHeaderBytes+1)+pingAnswers*frameHeaderBytes))
			before = sent.Load()
			time.Sleep(exchanges * time.Second)
			assert.Assert(t, sent.Load()-before >= exchanges/4*frameHeaderBytes)
		})
	})
	t.Run("an idle session is closed", func(t *testing.T) {
		runWithPeer(t, func(t *testing.T, l *Linker, _ *echoPeer) {
			open(t, l, TrafficShort).Abort()
			time.Sleep(idleTimeout + 2*pingInterval)
			synctest.Wait()
			assert.Equal(t, len(l.linkSet(linkKey{"peer", TrafficShort}).all()), 0)
		})
	})
}

func TestCoalescer(t *testing.T) {
	header := []byte{0, frameTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4}
	client, server := net.Pipe()
	c := newCoalescer(client, newConnCounter(nil, TrafficControl))
	var group sync.WaitGroup
	group.Go(func() {
		_, _ = c.Write(header)
		_, _ = c.Write([]byte("body"))
		_ = c.Close()
	})
	got, err := io.ReadAll(bufio.NewReader(server))
	group.Wait()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, append(header, "body"...)))
}
