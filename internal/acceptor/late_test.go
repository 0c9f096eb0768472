package acceptor

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// lateReader returns bytes after waiting for them.
type lateReader struct{ wait time.Duration }

func (r *lateReader) Read(p []byte) (int, error) {
	time.Sleep(r.wait)
	return len(p), nil
}

// TestArrival guards against bytes that count as new when they are read, although they
// have lain unread while the process waited for the processor.
func TestArrival(t *testing.T) {
	play := func(t *testing.T, delay time.Duration, reads ...time.Duration) time.Duration {
		t.Helper()
		age := time.Duration(0)
		synctest.Test(t, func(*testing.T) {
			r := &lateReader{}
			s := &limitedReader{r: r, remaining: -1, delay: func() time.Duration { return delay }, readAt: time.Now().Add(-delay)}
			for _, r.wait = range reads {
				_, _ = s.Read(make([]byte, 1))
			}
			age = time.Since(s.arrivedAt)
		})
		return age
	}
	const late = 400 * time.Millisecond
	assert.Equal(t, play(t, 0, time.Second), time.Duration(0), "bytes that were waited for")
	assert.Equal(t, play(t, late, time.Second), late, "bytes that were waited for by a late process")
	assert.Equal(t, play(t, late, 100*time.Millisecond), 100*time.Millisecond, "they came after the read began")
	assert.Equal(t, play(t, late, 0), late, "bytes that came with the connection")
	assert.Equal(t, play(t, late, time.Second, 0), time.Duration(0), "bytes that came since the read before")
}

// acceptTCP returns both ends of a connection on loopback.
func acceptTCP(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	caller, err = net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	accepted, err = ln.Accept()
	assert.NilError(t, err)
	return caller, accepted
}

// TestCallerIsGone guards against a close of the caller's connection that is not seen
// because it lies behind pipelined requests that have not been read.
func TestCallerIsGone(t *testing.T) {
	caller, accepted := acceptTCP(t)
	asked, closed := make(chan func() bool, maxPipelined), make(chan struct{})
	srv := &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if c, ok := CallerOf(r.Context()); ok {
			asked <- c.IsGone
		}
		<-closed
	})}
	c := newConn(srv, accepted)
	srv.addConn(c)
	var group sync.WaitGroup
	group.Go(c.serve)
	for range 2 * maxPipelined {
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
		assert.NilError(t, err)
	}
	isGone := <-asked
	assert.Assert(t, !isGone())
	assert.NilError(t, caller.Close())
	for deadline := time.Now().Add(5 * time.Second); !isGone() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, isGone())
	close(closed)
	group.Wait()
}
