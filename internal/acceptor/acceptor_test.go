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

// bench serves one connection under fake time.
type bench struct {
	t      *testing.T
	server *Server
	// limits that are in force.
	limits *atomic.Pointer[Limits]
	near   net.Conn
	r      *bufio.Reader
}

// play runs f against a server with the handler.
func play(t *testing.T, handler http.HandlerFunc, f func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		var limits atomic.Pointer[Limits]
		limits.Store(&Limits{})
		s := &Server{Handler: handler, MaxHeaderBytes: 8 << 10, Limits: func() Limits { return *limits.Load() }}
		c := newConn(s, far)
		s.add(c)
		var group sync.WaitGroup
		group.Go(c.serve)
		f(t, &bench{t: t, server: s, limits: &limits, near: near, r: bufio.NewReader(near)})
		_ = near.Close()
		group.Wait()
	})
}

func (b *bench) send(text string) {
	b.t.Helper()
	_, err := io.WriteString(b.near, text)
	assert.NilError(b.t, err)
}

func (b *bench) get(path string) { b.send("GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n") }

// assertAnswer reads the next answer and tells whether the connection ends with it.
func (b *bench) assertAnswer(status int, body string) (last bool) {
	b.t.Helper()
	resp, err := http.ReadResponse(b.r, &http.Request{Method: http.MethodGet}) //nolint:bodyclose // net.Pipe holds nothing back
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(b.t, err)
	assert.Equal(b.t, resp.StatusCode, status)
	assert.Equal(b.t, string(got), body)
	return resp.Close
}

func (b *bench) assertStatus(status int) {
	b.t.Helper()
	resp, err := http.ReadResponse(b.r, nil) //nolint:bodyclose // net.Pipe holds nothing back
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	assert.Equal(b.t, resp.StatusCode, status)
	_, _ = io.Copy(io.Discard, resp.Body)
}

func (b *bench) assertClosed() {
	b.t.Helper()
	_, err := b.r.Peek(1)
	assert.ErrorIs(b.t, err, io.EOF)
}

func echoPath(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

func TestPipelining(t *testing.T) {
	t.Run("requests run at once and are answered in order", func(t *testing.T) {
		started := make(chan string, 2)
		handler := func(w http.ResponseWriter, r *http.Request) {
			started <- r.URL.Path
			if r.URL.Path == "/slow" {
				time.Sleep(time.Second)
			}
			echoPath(w, r)
		}
		play(t, handler, func(t *testing.T, b *bench) {
			b.get("/slow")
			b.get("/quick")
			synctest.Wait()
			assert.Equal(t, len(started), 2)
			b.assertAnswer(http.StatusOK, "/slow")
			b.assertAnswer(http.StatusOK, "/quick")
		})
	})
	t.Run("a request behind a body waits for the body", func(t *testing.T) {
		handler := func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}
		play(t, handler, func(_ *testing.T, b *bench) {
			b.send("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbodyGET /b HTTP/1.1\r\nHost: a.example\r\n\r\n")
			b.assertAnswer(http.StatusOK, "body")
			b.assertAnswer(http.StatusOK, "")
		})
	})
}

func TestCallerGoesAway(t *testing.T) {
	for name, behind := range map[string]bool{"with nothing behind": false, "with a request behind": true} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 2)
			handler := func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				ended <- struct{}{}
			}
			play(t, handler, func(t *testing.T, b *bench) {
				b.get("/a")
				want := 1
				if behind {
					b.get("/b")
					want = 2
				}
				synctest.Wait()
				_ = b.near.Close()
				synctest.Wait()
				assert.Equal(t, len(ended), want, "the contexts of requests that nobody waits for have ended")
			})
		})
	}
}

func TestEndOfConnection(t *testing.T) {
	t.Run("an answer that was cut cannot look complete", func(t *testing.T) {
		handler := func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 2*heldBytes))
			panic(http.ErrAbortHandler)
		}
		play(t, handler, func(t *testing.T, b *bench) {
			b.get("/a")
			resp, err := http.ReadResponse(b.r, nil) //nolint:bodyclose // net.Pipe holds nothing back
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	})
	t.Run("nor one that is shorter than stated", func(t *testing.T) {
		handler := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
		}
		play(t, handler, func(t *testing.T, b *bench) {
			b.get("/a")
			resp, err := http.ReadResponse(b.r, nil) //nolint:bodyclose // net.Pipe holds nothing back
			if err == nil {
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
			}
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	})
	t.Run("a body that is not read ends the connection after the answer", func(t *testing.T) {
		play(t, echoPath, func(_ *testing.T, b *bench) {
			b.send("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n")
			assert.Assert(b.t, b.assertAnswer(http.StatusOK, "/a"))
			b.assertClosed()
		})
	})
	t.Run("a draining server says so with the last answer only", func(t *testing.T) {
		handler := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			echoPath(w, r)
		}
		play(t, handler, func(t *testing.T, b *bench) {
			b.get("/a")
			b.get("/b")
			synctest.Wait()
			b.server.Drain()
			assert.Assert(t, !b.assertAnswer(http.StatusOK, "/a"))
			assert.Assert(t, b.assertAnswer(http.StatusOK, "/b"))
			b.assertClosed()
		})
	})
	t.Run("an idle connection is closed in the end", func(t *testing.T) {
		play(t, echoPath, func(_ *testing.T, b *bench) {
			b.get("/a")
			b.assertAnswer(http.StatusOK, "/a")
			b.assertClosed()
		})
	})
}

func TestLimits(t *testing.T) {
	strict := Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: 15 * time.Second}
	limited := func(t *testing.T, f func(t *testing.T, b *bench)) {
		t.Helper()
		play(t, echoPath, func(t *testing.T, b *bench) {
			// The first request comes under the defaults: limits may change between two requests.
			b.get("/a")
			b.assertAnswer(http.StatusOK, "/a")
			b.limits.Store(&strict)
			f(t, b)
		})
	}
	t.Run("a connection may be idle for most of its time", func(t *testing.T) {
		limited(t, func(t *testing.T, b *bench) {
			b.get("/b")
			b.assertAnswer(http.StatusOK, "/b")
			time.Sleep(strict.IdleTimeout * 4 / 5)
			b.get("/c")
			b.assertAnswer(http.StatusOK, "/c")
			begun := time.Now()
			b.assertClosed()
			assert.Equal(t, time.Since(begun).Round(time.Second), strict.IdleTimeout)
		})
	})
	t.Run("headers that are too long", func(t *testing.T) {
		limited(t, func(_ *testing.T, b *bench) {
			b.get("/b")
			b.assertAnswer(http.StatusOK, "/b")
			var sending sync.WaitGroup
			sending.Go(func() { _, _ = io.WriteString(b.near, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 8<<10)) })
			b.assertStatus(http.StatusRequestHeaderFieldsTooLarge)
			_ = b.near.Close()
			sending.Wait()
		})
	})
	t.Run("headers that are too slow", func(t *testing.T) {
		limited(t, func(t *testing.T, b *bench) {
			b.get("/b")
			b.assertAnswer(http.StatusOK, "/b")
			begun := time.Now()
			b.send("GET / HTTP/1.1\r\nHo")
			b.assertStatus(http.StatusRequestTimeout)
			assert.Equal(t, time.Since(begun), strict.HeaderTimeout)
		})
	})
	t.Run("what the node itself allows is not raised", func(t *testing.T) {
		s := &Server{MaxHeaderBytes: 2 << 10, Limits: func() Limits { return Limits{MaxHeaderBytes: 1 << 20} }}
		assert.Equal(t, s.limits(), Limits{MaxHeaderBytes: 2 << 10, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	})
}

func TestMalformedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"no request at all":   {"what is this\r\n\r\n", http.StatusBadRequest},
		"no host":             {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"headers without end": {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		"a slow sender":       {"GET / HTTP/1.1\r\nHo", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, echoPath, func(_ *testing.T, b *bench) {
				var sending sync.WaitGroup
				sending.Go(func() { _, _ = io.WriteString(b.near, c.request) })
				b.assertStatus(c.status)
				_ = b.near.Close()
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
	play(t, handler, func(t *testing.T, b *bench) {
		b.send("POST /a HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		resp, err := http.ReadResponse(b.r, nil) //nolint:bodyclose // net.Pipe holds nothing back
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusContinue)
		b.send("body")
		b.assertAnswer(http.StatusOK, "body")
	})
}

func TestServeEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	release := make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoPath(w, r)
	})}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { assert.NilError(t, s.Serve(ctx, ln)) })
	busy, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	_, _ = io.WriteString(busy, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	for len(s.open()) == 0 || s.open()[0].hasStarted() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil) //nolint:bodyclose // net.Pipe holds nothing back
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = busy.Close()
	group.Wait()
}

// TestServeGivesUp holds the end to its bound when a request does not end.
func TestServeGivesUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{CloseTimeout: time.Millisecond, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	})}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { assert.NilError(t, s.Serve(ctx, ln)) })
	busy, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	_, _ = io.WriteString(busy, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	for len(s.open()) == 0 || s.open()[0].hasStarted() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	group.Wait()
	_ = busy.Close()
}

// hasStarted counts the requests that have begun.
func (c *conn) hasStarted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}
