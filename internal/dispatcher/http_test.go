package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

// fakeTarget serves each connection that the client dials.
type fakeTarget struct {
	group sync.WaitGroup
	// serve is called with the number of the connection, counted from 1.
	serve func(n int, c net.Conn, r *bufio.Reader)
	mu    sync.Mutex
	dials int
}

func (f *fakeTarget) dial(context.Context, string, string) (net.Conn, error) {
	f.mu.Lock()
	f.dials++
	n := f.dials
	f.mu.Unlock()
	near, far := net.Pipe()
	f.group.Go(func() {
		defer far.Close()
		f.serve(n, far, bufio.NewReader(far))
	})
	return near, nil
}

func (f *fakeTarget) dialCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials
}

func testRequest(id string) *exchanger.Request {
	return &exchanger.Request{
		ID: id, Method: "POST", Path: "/book", Host: "booking", Header: http.Header{},
		Depth: 1, Attempt: 1, Deadline: time.Now().Add(10 * time.Second),
	}
}

func respond(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nGentian-Request-Id: "+id+"\r\n\r\n"+body)
}

// withFakeTarget calls f with a client of a fake target, under fake time.
func withFakeTarget(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader), f func(t *testing.T, target *fakeTarget, client Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		target := &fakeTarget{serve: serve}
		client := NewHTTP(WithDial(target.dial))
		f(t, target, client)
		client.Close()
		target.group.Wait()
	})
}

func assertAnswer(t *testing.T, a *exchanger.Answer, o retrier.Outcome, reason exchanger.Reason) {
	t.Helper()
	defer a.Close()
	assert.Equal(t, a.Outcome, o, "error %v", a.Err)
	assert.Equal(t, a.Reason, reason)
}

func assertBody(t *testing.T, a *exchanger.Answer, want string) {
	t.Helper()
	defer a.Close()
	assert.Equal(t, a.Outcome, retrier.OutcomeDone, "error %v", a.Err)
	body, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), want)
}

func TestDispatch(t *testing.T) {
	t.Run("a failed dial is not-run", func(t *testing.T) {
		client := NewHTTP(WithDial(func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
		}))
		a := client.Dispatch(t.Context(), "target:1", testRequest("r-1"))
		assertAnswer(t, a, retrier.OutcomeNotRun, exchanger.ReasonTargetFailed)
	})
	t.Run("a connection that the target closes without an answer is unknown", func(t *testing.T) {
		withFakeTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.Peek(1) }, func(t *testing.T, _ *fakeTarget, client Client) {
			a := client.Dispatch(t.Context(), "target:1", testRequest("r-1"))
			assertAnswer(t, a, retrier.OutcomeUnknown, exchanger.ReasonConnectionLost)
		})
	})
	t.Run("a target that closes just before the deadline counts as past the deadline", func(t *testing.T) {
		withFakeTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
			_, _ = r.Peek(1)
			time.Sleep(10*time.Second - time.Millisecond)
		}, func(t *testing.T, _ *fakeTarget, client Client) {
			a := client.Dispatch(t.Context(), "target:1", testRequest("r-1"))
			assertAnswer(t, a, retrier.OutcomeUnknown, exchanger.ReasonDeadline)
		})
	})
	t.Run("a deadline that passes during the dial is not-run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			client := NewHTTP(WithDial(func(context.Context, string, string) (net.Conn, error) {
				time.Sleep(time.Minute)
				return nil, net.ErrClosed
			}))
			defer time.Sleep(time.Minute)
			a := client.Dispatch(t.Context(), "target:1", testRequest("r-1"))
			assertAnswer(t, a, retrier.OutcomeNotRun, exchanger.ReasonDeadline)
		})
	})
	t.Run("an escaped path is sent unchanged", func(t *testing.T) {
		serve := func(_ int, c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err == nil && req.RequestURI == "/book/a%2Fb?x=%20" {
				respond(c, "r-1", "ok")
			}
		}
		withFakeTarget(t, serve, func(t *testing.T, _ *fakeTarget, client Client) {
			r := testRequest("r-1")
			r.Path = "/book/a%2Fb?x=%20"
			assertBody(t, client.Dispatch(t.Context(), "target:1", r), "ok")
		})
	})
}

func TestLateAnswers(t *testing.T) {
	t.Run("a second answer to one request is not used for the next request", func(t *testing.T) {
		serve := func(n int, c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				id := req.Header.Get(exchanger.HeaderRequestID)
				respond(c, id, "ok")
				if n == 1 {
					respond(c, id, "xx")
				}
			}
		}
		withFakeTarget(t, serve, func(t *testing.T, _ *fakeTarget, client Client) {
			assertBody(t, client.Dispatch(t.Context(), "target:1", testRequest("r-1")), "ok")
			synctest.Wait()
			assertBody(t, client.Dispatch(t.Context(), "target:1", testRequest("r-2")), "ok")
		})
	})
	t.Run("the connection of a cancelled request is not reused", func(t *testing.T) {
		serve := func(n int, c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n == 1 {
				time.Sleep(2 * time.Second)
			}
			respond(c, req.Header.Get(exchanger.HeaderRequestID), "ok")
		}
		withFakeTarget(t, serve, func(t *testing.T, target *fakeTarget, client Client) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			a := client.Dispatch(ctx, "target:1", testRequest("r-1"))
			assertAnswer(t, a, retrier.OutcomeUnknown, exchanger.ReasonDeadline)
			assertBody(t, client.Dispatch(t.Context(), "target:1", testRequest("r-2")), "ok")
			assert.Equal(t, target.dialCount(), 2)
		})
	})
	t.Run("the connection of a partly read answer is not reused", func(t *testing.T) {
		serve := func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				respond(c, req.Header.Get(exchanger.HeaderRequestID), "ok")
			}
		}
		withFakeTarget(t, serve, func(t *testing.T, target *fakeTarget, client Client) {
			client.Dispatch(t.Context(), "target:1", testRequest("r-1")).Close()
			assertBody(t, client.Dispatch(t.Context(), "target:1", testRequest("r-2")), "ok")
			assert.Equal(t, target.dialCount(), 2)
		})
	})
}

// TestRepeatedRefusal guards against a refusal that a target writes once more on a
// connection which carries the next request by then: taken for an answer to that
// request, it would promise that a request has not run which the target runs.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(status, id, rest string) string {
		if id != "" {
			id = exchanger.HeaderRequestID + ": " + id + "\r\n"
		}
		return "HTTP/1.1 " + status + "\r\n" + exchanger.HeaderShed + ": " + exchanger.ShedNotRun + "\r\n" + id + rest
	}
	for name, repeated := range map[string]string{
		"with the id of the request before":  refusal("503 Full", "r-1", "Content-Length: 2\r\n\r\nno"),
		"in chunks":                          refusal("429 Many", "r-1", "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"),
		"by another process":                 refusal("421 Misdirected", "r-1", "Content-Length: 0\r\n\r\n"),
		"with an id of long ago":             refusal("503 Full", "r-0", "Content-Length: 0\r\n\r\n"),
		"without an id":                      refusal("503 Full", "", "Content-Length: 0\r\n\r\n"),
		"twice":                              strings.Repeat(refusal("503 Full", "r-1", "Content-Length: 0\r\n\r\n"), 2),
		"behind an interim answer":           "HTTP/1.1 102 Processing\r\n\r\n" + refusal("503 Full", "r-1", "Content-Length: 0\r\n\r\n"),
		"with a body longer than is skipped": refusal("503 Full", "r-1", "Content-Length: 3000000\r\n\r\n") + strings.Repeat("x", 3000000),
		"with no end":                        refusal("503 Full", "r-1", "\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			// The target refuses r-1 and, having read r-2 on the same connection, writes the refusal once more and runs r-2.
			serve := func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, refusal("503 Full", "r-1", "Content-Length: 2\r\n\r\nno"))
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, repeated)
				respond(c, "r-2", "ok")
			}
			withFakeTarget(t, serve, func(t *testing.T, target *fakeTarget, client Client) {
				assertAnswer(t, client.Dispatch(t.Context(), "target:1", testRequest("r-1")), retrier.OutcomeNotRun, exchanger.ReasonTargetShed)
				a := client.Dispatch(t.Context(), "target:1", testRequest("r-2"))
				defer a.Close()
				assert.Equal(t, target.dialCount(), 1)
				assert.Assert(t, a.Outcome != retrier.OutcomeNotRun, "the refusal of another request was believed")
				if a.Outcome == retrier.OutcomeDone {
					assertBody(t, a, "ok")
				}
			})
		})
	}
	t.Run("the same request on the connection that refused it", func(t *testing.T) {
		serve := func(n int, c net.Conn, r *bufio.Reader) {
			for i := 1; ; i++ {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if n == 1 {
					_, _ = io.WriteString(c, refusal("503 Full", "r-1", "Content-Length: 0\r\n\r\n"))
				} else {
					respond(c, "r-1", "ok")
				}
			}
		}
		withFakeTarget(t, serve, func(t *testing.T, target *fakeTarget, client Client) {
			assertAnswer(t, client.Dispatch(t.Context(), "target:1", testRequest("r-1")), retrier.OutcomeNotRun, exchanger.ReasonTargetShed)
			assertBody(t, client.Dispatch(t.Context(), "target:1", testRequest("r-1")), "ok")
			assert.Equal(t, target.dialCount(), 2)
		})
	})
	t.Run("interim answers do not use up the answers that are skipped", func(t *testing.T) {
		serve := func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3))
				respond(c, "r-1", "ok")
			}
		}
		withFakeTarget(t, serve, func(t *testing.T, _ *fakeTarget, client Client) {
			assertBody(t, client.Dispatch(t.Context(), "target:1", testRequest("r-1")), "ok")
		})
	})
}

func TestNotRunOutcome(t *testing.T) {
	t.Run("a connection that fails before the first byte is not-run", func(t *testing.T) {
		near, far := net.Pipe()
		_ = far.Close()
		x := &exchange{conn: &conn{Conn: near}, ctx: t.Context(), request: testRequest("r-1"), cancel: func() {}}
		x.stopWatch = func() bool { return true }
		assertAnswer(t, x.fail(net.ErrClosed, nil), retrier.OutcomeNotRun, exchanger.ReasonConnectionLost)
	})
	t.Run("a connection that fails after the first byte is unknown", func(t *testing.T) {
		near, far := net.Pipe()
		_ = far.Close()
		x := &exchange{conn: &conn{Conn: near}, ctx: t.Context(), request: testRequest("r-1"), cancel: func() {}}
		x.stopWatch = func() bool { return true }
		_, _ = x.conn.Write([]byte("POST"))
		assertAnswer(t, x.fail(net.ErrClosed, nil), retrier.OutcomeUnknown, exchanger.ReasonConnectionLost)
	})
	t.Run("a request that was written is not sent on a second connection", func(t *testing.T) {
		withFakeTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = r.Peek(1) }, func(t *testing.T, target *fakeTarget, client Client) {
			a := client.Dispatch(t.Context(), "target:1", testRequest("r-1"))
			assertAnswer(t, a, retrier.OutcomeUnknown, exchanger.ReasonConnectionLost)
			assert.Equal(t, target.dialCount(), 1)
		})
	})
	t.Run("a connection opened after the deadline is closed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			client := NewHTTP(WithDial(func(context.Context, string, string) (net.Conn, error) {
				time.Sleep(time.Minute)
				return near, nil
			}))
			a := client.Dispatch(t.Context(), "target:1", testRequest("r-1"))
			assertAnswer(t, a, retrier.OutcomeNotRun, exchanger.ReasonDeadline)
			_, err := far.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF)
		})
	})
	t.Run("a late answer to an earlier request is discarded and the next answer is read", func(t *testing.T) {
		serve := func(_ int, c net.Conn, r *bufio.Reader) {
			for range 2 {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if id := req.Header.Get(exchanger.HeaderRequestID); id == "r-2" {
					respond(c, "r-1", "xx")
					respond(c, id, "ok")
				} else {
					respond(c, id, "ok")
				}
			}
		}
		withFakeTarget(t, serve, func(t *testing.T, target *fakeTarget, client Client) {
			assertBody(t, client.Dispatch(t.Context(), "target:1", testRequest("r-1")), "ok")
			assertBody(t, client.Dispatch(t.Context(), "target:1", testRequest("r-2")), "ok")
			assert.Equal(t, target.dialCount(), 1)
		})
	})
}
