package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// testClient is the caller's end of one connection that is served under fake time.
type testClient struct {
	t      *testing.T
	server *Server
	// limits holds the limits that currently apply.
	limits *atomic.Pointer[Limits]
	conn   net.Conn
	r      *bufio.Reader
}

// runServer runs f against a server with the given handler.
func runServer(t *testing.T, handler http.HandlerFunc, f func(t *testing.T, c *testClient)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		var limits atomic.Pointer[Limits]
		limits.Store(&Limits{})
		srv := &Server{Handler: handler, MaxHeaderBytes: 8 << 10, Limits: func() Limits { return *limits.Load() }}
		c := newConn(srv, server)
		srv.addConn(c)
		var group sync.WaitGroup
		group.Go(c.serve)
		f(t, &testClient{t: t, server: srv, limits: &limits, conn: client, r: bufio.NewReader(client)})
		_ = client.Close()
		group.Wait()
	})
}

func (c *testClient) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

func (c *testClient) get(path string) { c.send("GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n") }

// assertAnswer reads the next answer and tells whether it closes the connection.
func (c *testClient) assertAnswer(status int, body string) (closes bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodGet}) //nolint:bodyclose // net.Pipe holds nothing back
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, resp.StatusCode, status)
	assert.Equal(c.t, string(got), body)
	return resp.Close
}

func (c *testClient) assertStatus(status int) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil) //nolint:bodyclose // net.Pipe holds nothing back
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	assert.Equal(c.t, resp.StatusCode, status)
	_, _ = io.Copy(io.Discard, resp.Body)
}

func (c *testClient) assertClosed() {
	c.t.Helper()
	_, err := c.r.Peek(1)
	assert.ErrorIs(c.t, err, io.EOF)
}

func echoPath(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

func TestPipelining(t *testing.T) {
	t.Run("requests run concurrently and are answered in order", func(t *testing.T) {
		started := make(chan string, 2)
		handler := func(w http.ResponseWriter, r *http.Request) {
			started <- r.URL.Path
			if r.URL.Path == "/slow" {
				time.Sleep(time.Second)
			}
			echoPath(w, r)
		}
		runServer(t, handler, func(t *testing.T, c *testClient) {
			c.get("/slow")
			c.get("/quick")
			synctest.Wait()
			assert.Equal(t, len(started), 2)
			c.assertAnswer(http.StatusOK, "/slow")
			c.assertAnswer(http.StatusOK, "/quick")
		})
	})
	t.Run("a request that follows a body waits for the body", func(t *testing.T) {
		handler := func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}
		runServer(t, handler, func(_ *testing.T, c *testClient) {
			c.send("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbodyGET /b HTTP/1.1\r\nHost: a.example\r\n\r\n")
			c.assertAnswer(http.StatusOK, "body")
			c.assertAnswer(http.StatusOK, "")
		})
	})
}

func TestCallerDisconnects(t *testing.T) {
	for name, pipelined := range map[string]bool{"without a pipelined request": false, "with a pipelined request": true} {
		t.Run(name, func(t *testing.T) {
			cancelled := make(chan struct{}, 2)
			handler := func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				cancelled <- struct{}{}
			}
			runServer(t, handler, func(t *testing.T, c *testClient) {
				c.get("/a")
				want := 1
				if pipelined {
					c.get("/b")
					want = 2
				}
				synctest.Wait()
				_ = c.conn.Close()
				synctest.Wait()
				assert.Equal(t, len(cancelled), want, "the contexts of all requests of the caller are cancelled")
			})
		})
	}
}

func TestConnectionClose(t *testing.T) {
	t.Run("an aborted answer does not look complete", func(t *testing.T) {
		handler := func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedBytes))
			panic(http.ErrAbortHandler)
		}
		runServer(t, handler, func(t *testing.T, c *testClient) {
			c.get("/a")
			resp, err := http.ReadResponse(c.r, nil) //nolint:bodyclose // net.Pipe holds nothing back
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	})
	t.Run("an answer shorter than its Content-Length does not look complete", func(t *testing.T) {
		handler := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
		}
		runServer(t, handler, func(t *testing.T, c *testClient) {
			c.get("/a")
			resp, err := http.ReadResponse(c.r, nil) //nolint:bodyclose // net.Pipe holds nothing back
			if err == nil {
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
			}
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	})
	t.Run("an unread body closes the connection after the answer", func(t *testing.T) {
		runServer(t, echoPath, func(_ *testing.T, c *testClient) {
			c.send("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n")
			assert.Assert(c.t, c.assertAnswer(http.StatusOK, "/a"))
			c.assertClosed()
		})
	})
	t.Run("a draining server closes the connection with the last answer only", func(t *testing.T) {
		handler := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			echoPath(w, r)
		}
		runServer(t, handler, func(t *testing.T, c *testClient) {
			c.get("/a")
			c.get("/b")
			synctest.Wait()
			c.server.Drain()
			assert.Assert(t, !c.assertAnswer(http.StatusOK, "/a"))
			assert.Assert(t, c.assertAnswer(http.StatusOK, "/b"))
			c.assertClosed()
		})
	})
	t.Run("an idle connection is closed", func(t *testing.T) {
		runServer(t, echoPath, func(_ *testing.T, c *testClient) {
			c.get("/a")
			c.assertAnswer(http.StatusOK, "/a")
			c.assertClosed()
		})
	})
}

func TestLimits(t *testing.T) {
	strict := Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: 15 * time.Second}
	limited := func(t *testing.T, f func(t *testing.T, c *testClient)) {
		t.Helper()
		runServer(t, echoPath, func(t *testing.T, c *testClient) {
			// The first request is subject to the defaults: limits may change between two requests.
			c.get("/a")
			c.assertAnswer(http.StatusOK, "/a")
			c.limits.Store(&strict)
			f(t, c)
		})
	}
	t.Run("an idle connection is closed after the idle timeout only", func(t *testing.T) {
		limited(t, func(t *testing.T, c *testClient) {
			c.get("/b")
			c.assertAnswer(http.StatusOK, "/b")
			time.Sleep(strict.IdleTimeout * 4 / 5)
			c.get("/c")
			c.assertAnswer(http.StatusOK, "/c")
			start := time.Now()
			c.assertClosed()
			assert.Equal(t, time.Since(start).Round(time.Second), strict.IdleTimeout)
		})
	})
	t.Run("headers that are too long are rejected", func(t *testing.T) {
		limited(t, func(_ *testing.T, c *testClient) {
			c.get("/b")
			c.assertAnswer(http.StatusOK, "/b")
			var sending sync.WaitGroup
			sending.Go(func() { _, _ = io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 8<<10)) })
			c.assertStatus(http.StatusRequestHeaderFieldsTooLarge)
			_ = c.conn.Close()
			sending.Wait()
		})
	})
	t.Run("headers that arrive too slowly are rejected", func(t *testing.T) {
		limited(t, func(t *testing.T, c *testClient) {
			c.get("/b")
			c.assertAnswer(http.StatusOK, "/b")
			start := time.Now()
			c.send("GET / HTTP/1.1\r\nHo")
			c.assertStatus(http.StatusRequestTimeout)
			assert.Equal(t, time.Since(start), strict.HeaderTimeout)
		})
	})
	t.Run("the server's own header limit is not raised", func(t *testing.T) {
		s := &Server{MaxHeaderBytes: 2 << 10, Limits: func() Limits { return Limits{MaxHeaderBytes: 1 << 20} }}
		assert.Equal(t, s.effectiveLimits(), Limits{MaxHeaderBytes: 2 << 10, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	})
}

func TestMalformedRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		request string
		status  int
	}{
		"not a request":                       {"what is this\r\n\r\n", http.StatusBadRequest},
		"no Host header":                      {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"a space behind the name of a header": {"GET / HTTP/1.1\r\nHost: a\r\nAccept : x\r\n\r\n", http.StatusBadRequest},
		"a space in the name of a header":     {"GET / HTTP/1.1\r\nHost: a\r\nTen ant: x\r\n\r\n", http.StatusBadRequest},
		"endless headers":                     {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		"slow sender":                         {"GET / HTTP/1.1\r\nHo", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			runServer(t, echoPath, func(_ *testing.T, c *testClient) {
				var sending sync.WaitGroup
				sending.Go(func() { _, _ = io.WriteString(c.conn, tc.request) })
				c.assertStatus(tc.status)
				_ = c.conn.Close()
				sending.Wait()
			})
		})
	}
}

func TestContinue(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}
	runServer(t, handler, func(t *testing.T, c *testClient) {
		c.send("POST /a HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		resp, err := http.ReadResponse(c.r, nil) //nolint:bodyclose // net.Pipe holds nothing back
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusContinue)
		c.send("body")
		c.assertAnswer(http.StatusOK, "body")
	})
}

func TestServeFinishesRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	finish := make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-finish
		echoPath(w, r)
	})}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { assert.NilError(t, s.Serve(ctx, ln)) })
	caller, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	_, _ = io.WriteString(caller, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	for len(s.openConns()) == 0 || s.openConns()[0].startedRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	close(finish)
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil) //nolint:bodyclose // net.Pipe holds nothing back
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = caller.Close()
	group.Wait()
}

// TestServeAbortsAfterCloseTimeout checks that Serve returns although a request does not end.
func TestServeAbortsAfterCloseTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{CloseTimeout: time.Millisecond, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	})}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { assert.NilError(t, s.Serve(ctx, ln)) })
	caller, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	_, _ = io.WriteString(caller, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	for len(s.openConns()) == 0 || s.openConns()[0].startedRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	group.Wait()
	_ = caller.Close()
}

// startedRequests returns the number of requests that have started.
func (c *conn) startedRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}
