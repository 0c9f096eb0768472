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

	"gotest.tools/v3/assert"
)

// echo is a peer whose connections can go silent.
type echo struct {
	linker *Linker
	mu     sync.Mutex
	silent *atomic.Bool
	dials  int
	group  sync.WaitGroup
}

func newEcho() *echo {
	e := &echo{linker: New()}
	e.linker.Handle("echo", func(_ context.Context, s *Stream) { _, _ = io.Copy(s, s.Reader) })
	e.linker.Handle("fail", func(context.Context, *Stream) {})
	return e
}

func (e *echo) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	e.group.Go(func() { e.linker.ServeConn(ctx, far) })
	c := &silentConn{Conn: near, closed: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dials++
	e.silent = &c.silent
	return c, nil
}

// silentConn can stop passing anything in either direction.
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

// failingConn sends headers of frames and fails at their bodies.
type failingConn struct{ net.Conn }

func (c failingConn) Write(b []byte) (int, error) {
	if len(b) != frameHeaderBytes {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// inBubble runs a test with a linker and a peer under fake time.
func inBubble(t *testing.T, f func(t *testing.T, l *Linker, e *echo)) {
	t.Helper()
	// yamux pools timers, which must not pass from one bubble to the next.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := newEcho()
		l := New()
		l.Dial = func(context.Context, string) (net.Conn, error) { return e.dial(ctx, "") }
		f(t, l, e)
		l.Close()
		cancel()
		e.group.Wait()
	})
}

func say(t *testing.T, s *Stream, word string) {
	t.Helper()
	_, err := io.WriteString(s, word)
	assert.NilError(t, err)
	got := make([]byte, len(word))
	_, err = io.ReadFull(s.Reader, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), word)
}

func open(t *testing.T, l *Linker, traffic Traffic) *Stream {
	t.Helper()
	s, err := l.Open(t.Context(), "peer", traffic, "echo")
	assert.NilError(t, err)
	return s
}

func TestOpen(t *testing.T) {
	t.Run("streams of one class share a connection, classes do not", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, e *echo) {
			for _, traffic := range []Traffic{TrafficShort, TrafficShort, TrafficBulk} {
				s := open(t, l, traffic)
				say(t, s, "hello")
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
	t.Run("a peer that is lost during the first message may have received it", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, e *echo) {
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
	t.Run("abort ends a read under way", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, _ *echo) {
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

func TestSilence(t *testing.T) {
	t.Run("new streams leave a silent session in use", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, e *echo) {
			say(t, open(t, l, TrafficShort), "before")
			e.silent.Store(true)
			time.Sleep(silentAfter + pingEvery)
			say(t, open(t, l, TrafficShort), "after")
			assert.Equal(t, e.dials, 2)
		})
	})
	t.Run("new streams leave a silent control session while a change still has time to be in force", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, e *echo) {
			const inForce = 17 * time.Second
			say(t, open(t, l, TrafficControl), "before")
			e.silent.Store(true)
			time.Sleep(inForce / 2)
			say(t, open(t, l, TrafficControl), "after")
			assert.Equal(t, e.dials, 2)
		})
	})
	t.Run("streams of a silent session end in a bounded time", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, e *echo) {
			s := open(t, l, TrafficShort)
			say(t, s, "before")
			e.silent.Store(true)
			begun := time.Now()
			_, err := s.Reader.ReadByte()
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(begun) <= pingEvery+writeTimeout)
		})
	})
	t.Run("a session at rest is checked before it is used", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, e *echo) {
			open(t, l, TrafficShort).Abort()
			time.Sleep(restAfter * 2)
			e.silent.Store(true)
			begun := time.Now()
			say(t, open(t, l, TrafficShort), "after")
			assert.Assert(t, time.Since(begun) <= verifyTimeout)
			assert.Equal(t, e.dials, 2)
		})
	})
	t.Run("a session at rest that answers is used again", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, e *echo) {
			open(t, l, TrafficShort).Abort()
			time.Sleep(restAfter * 2)
			say(t, open(t, l, TrafficShort), "after")
			assert.Equal(t, e.dials, 1)
		})
	})
	t.Run("a session that brings bytes is not pinged, one that brings none is", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, _ *echo) {
			var sent atomic.Int64
			l.count = func(_ Traffic, d Direction, n int) {
				if d == DirectionSent {
					sent.Add(int64(n))
				}
			}
			s := open(t, l, TrafficControl)
			defer s.Abort()
			const beats = 20
			exchange := func() {
				_, err := s.Write([]byte("b"))
				assert.NilError(t, err)
				_, err = s.Reader.ReadByte()
				assert.NilError(t, err)
			}
			exchange()
			time.Sleep(time.Second)
			before := sent.Load()
			for range beats {
				exchange()
				time.Sleep(time.Second)
			}
			answersToPings := int(beats * time.Second / serverPingEvery)
			assert.Equal(t, sent.Load()-before, int64(beats*(frameHeaderBytes+1)+answersToPings*frameHeaderBytes))
			before = sent.Load()
			time.Sleep(beats * time.Second)
			assert.Assert(t, sent.Load()-before >= beats/4*frameHeaderBytes)
		})
	})
	t.Run("an idle session is closed", func(t *testing.T) {
		inBubble(t, func(t *testing.T, l *Linker, _ *echo) {
			open(t, l, TrafficShort).Abort()
			time.Sleep(idleTimeout + 2*pingEvery)
			synctest.Wait()
			assert.Equal(t, len(l.slot(slotKey{"peer", TrafficShort}).links()), 0)
		})
	})
}

func TestCoalescer(t *testing.T) {
	header := []byte{0, frameTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4}
	near, far := net.Pipe()
	c := newCoalescer(near, newConnCounter(nil, TrafficControl))
	var group sync.WaitGroup
	group.Go(func() {
		_, _ = c.Write(header)
		_, _ = c.Write([]byte("body"))
		_ = c.Close()
	})
	got, err := io.ReadAll(bufio.NewReader(far))
	group.Wait()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, append(header, "body"...)))
}
