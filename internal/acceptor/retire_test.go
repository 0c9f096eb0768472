package acceptor

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const requestText = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"

// TestRequestOnConnectionToClose guards against a request that gets neither an answer nor
// a refusal because the server takes its connection for idle: it has not been read yet, or
// not to its end.
func TestRequestOnConnectionToClose(t *testing.T) {
	t.Run("it has arrived and is unread", func(t *testing.T) {
		caller, accepted := acceptTCP(t)
		defer caller.Close()
		_, err := io.WriteString(caller, requestText)
		assert.NilError(t, err)
		srv := &Server{Handler: http.HandlerFunc(echoPath)}
		c := newConn(srv, accepted)
		srv.addConn(c)
		for !c.hasUnread() {
			time.Sleep(time.Millisecond)
		}
		c.closeWhenIdle()
		var group sync.WaitGroup
		group.Go(c.serve)
		defer group.Wait()
		assertLastAnswer(t, caller)
		_ = caller.Close()
	})
	t.Run("a part of it has been read", func(t *testing.T) {
		runServer(t, echoPath, func(t *testing.T, c *testClient) {
			c.send(requestText[:20])
			synctest.Wait()
			for _, conn := range c.server.openConns() {
				conn.closeWhenIdle()
			}
			c.send(requestText[20:])
			assert.Assert(t, c.assertAnswer(http.StatusOK, "/a"), "the answer does not tell that the connection closes")
			c.assertClosed()
		})
	})
	t.Run("there is none", func(t *testing.T) {
		runServer(t, echoPath, func(_ *testing.T, c *testClient) {
			synctest.Wait()
			for _, conn := range c.server.openConns() {
				conn.closeWhenIdle()
			}
			c.assertClosed()
		})
	})
	t.Run("one is running", func(t *testing.T) {
		handler := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			echoPath(w, r)
		}
		runServer(t, handler, func(t *testing.T, c *testClient) {
			c.get("/a")
			synctest.Wait()
			for _, conn := range c.server.openConns() {
				conn.closeWhenIdle()
			}
			assert.Assert(t, c.assertAnswer(http.StatusOK, "/a"), "the answer does not tell that the connection closes")
			c.assertClosed()
		})
	})
}

// assertLastAnswer reads an answer that closes the connection.
func assertLastAnswer(t *testing.T, caller io.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close, "the answer does not tell that the connection closes")
}
