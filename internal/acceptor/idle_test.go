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

// TestCloseIdle guards against callers that get no connection because others keep theirs
// open without a request.
func TestCloseIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		srv := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })}
		var group sync.WaitGroup
		connect := func() net.Conn {
			local, remote := net.Pipe()
			c := newConn(srv, remote)
			srv.addConn(c)
			group.Go(c.serve)
			time.Sleep(time.Second)
			return local
		}
		busy, oldest, newest := connect(), connect(), connect()
		_, _ = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
		synctest.Wait()
		isClosed := func(c net.Conn) bool {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := c.Read(make([]byte, 1))
			return err == io.EOF //nolint:errorlint // net.Pipe returns io.EOF itself
		}
		srv.CloseIdle()
		time.Sleep(time.Second)
		assert.Assert(t, isClosed(oldest))
		assert.Assert(t, !isClosed(newest))
		assert.Assert(t, !isClosed(busy))
		close(release)
		for _, c := range []net.Conn{busy, oldest, newest} {
			_ = c.Close()
		}
		group.Wait()
	})
}
