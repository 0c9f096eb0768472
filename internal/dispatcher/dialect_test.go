package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

// signedDialect returns a dialect whose targets have IDs, sign their answers and
// refuse requests that expect another target.
func signedDialect() exchanger.Dialect {
	d := exchanger.DefaultDialect()
	d.RequestID, d.CallerService, d.ExpectTarget = "X-Id", "X-Caller", "X-Expect"
	d.Signature, d.TargetID, d.WrongTargetStatus = "X-Signature", "X-Target", http.StatusMisdirectedRequest
	d.ReadTargetReport = func(h http.Header) exchanger.TargetReport {
		return exchanger.TargetReport{IsLimited: h.Get("X-Limit") == "7", RateLimit: 7}
	}
	return d
}

// dispatchSigned sends one request to a target that sends the given response, and
// passes the answer and the headers that the target received to check.
func dispatchSigned(t *testing.T, response string, check func(t *testing.T, a *exchanger.Answer, received http.Header)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var received http.Header
		target := &fakeTarget{serve: func(_ int, c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				received = req.Header
				_, _ = io.WriteString(c, response)
			}
		}}
		client := NewHTTP(WithDial(target.dial), WithDialect(signedDialect()))
		r := testRequest("r-1")
		r.TargetID, r.CallerService = "i-1", "booking"
		r.Header = http.Header{"X-Caller": {"forged"}, "X-Expect": {"forged"}, "Accept": {"text/plain"}}
		a := client.Dispatch(context.Background(), "target:1", r)
		check(t, a, received)
		a.Close()
		client.Close()
		target.group.Wait()
	})
}

func TestDialect(t *testing.T) {
	t.Run("headers of the caller that name caller service and target are overwritten", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"
		dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, seen http.Header) {
			assert.Equal(t, a.Outcome, retrier.OutcomeDone)
			assert.Equal(t, a.Header.Get("X-Signature"), "s")
			assert.Equal(t, seen.Get("X-Caller"), "booking")
			assert.Equal(t, seen.Get("X-Expect"), "i-1")
			assert.Equal(t, seen.Get("Accept"), "text/plain")
		})
	})
	t.Run("an answer without a signature is malformed", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n"
		dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, _ http.Header) {
			assert.Equal(t, a.Outcome, retrier.OutcomeUnknown)
			assert.Equal(t, a.Reason, exchanger.ReasonMalformedAnswer)
		})
	})
	t.Run("an answer from the wrong target means not-run and carries its ID", func(t *testing.T) {
		text := "HTTP/1.1 421 Misdirected Request\r\nX-Id: r-1\r\nX-Target: i-9\r\nContent-Length: 0\r\n\r\n"
		dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, _ http.Header) {
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Equal(t, a.Reason, exchanger.ReasonWrongTarget)
			assert.Equal(t, a.TargetID, "i-9")
		})
	})
	t.Run("a body without a length ends with its connection", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\nwhole"
		dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, _ http.Header) {
			body, err := io.ReadAll(a.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "whole")
		})
	})
}

// TestTargetReport guards against a report that is taken from an answer of another
// process than the one that was expected to run the request.
func TestTargetReport(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		want *exchanger.TargetReport
	}{
		"an answer":                     {"200 OK\r\nX-Signature: s", &exchanger.TargetReport{IsLimited: true, RateLimit: 7}},
		"a request that was not run":    {"503 Busy\r\nGentian-Shed: not-run", &exchanger.TargetReport{IsLimited: true, RateLimit: 7}},
		"an answer of another process":  {"421 Other\r\nX-Target: i-2", nil},
		"an answer without a signature": {"200 OK", nil},
	} {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 " + c.head + "\r\nX-Id: r-1\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"
			dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, _ http.Header) {
				assert.DeepEqual(t, a.Report, c.want)
			})
		})
	}
}
