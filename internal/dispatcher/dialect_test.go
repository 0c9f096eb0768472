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

// signed is a dialect whose targets are named, sign their answers and refuse what is meant for others.
func signed() exchanger.Dialect {
	d := exchanger.DefaultDialect()
	d.RequestID, d.CallerService, d.ExpectTarget = "X-Id", "X-Caller", "X-Expect"
	d.Signature, d.TargetID, d.WrongTargetStatus = "X-Signature", "X-Target", http.StatusMisdirectedRequest
	return d
}

// dispatchSigned sends one request to a target that answers with the text, and returns what the target saw.
func dispatchSigned(t *testing.T, text string, check func(t *testing.T, a *exchanger.Answer, seen http.Header)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var seen http.Header
		target := &fakeTarget{serve: func(_ int, c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				seen = req.Header
				_, _ = io.WriteString(c, text)
			}
		}}
		client := NewHTTP(WithDial(target.dial), WithDialect(signed()))
		r := testRequest("r-1")
		r.TargetID, r.CallerService = "i-1", "booking"
		r.Header = http.Header{"X-Caller": {"forged"}, "X-Expect": {"forged"}, "Accept": {"text/plain"}}
		a := client.Dispatch(context.Background(), "target:1", r)
		check(t, a, seen)
		a.Close()
		client.Close()
		target.group.Wait()
	})
}

func TestDialect(t *testing.T) {
	t.Run("what the caller says of itself and of the target is replaced", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"
		dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, seen http.Header) {
			assert.Equal(t, a.Outcome, retrier.OutcomeDone)
			assert.Equal(t, a.Header.Get("X-Signature"), "s")
			assert.Equal(t, seen.Get("X-Caller"), "booking")
			assert.Equal(t, seen.Get("X-Expect"), "i-1")
			assert.Equal(t, seen.Get("Accept"), "text/plain")
		})
	})
	t.Run("an answer without a signature is not a target's", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n"
		dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, _ http.Header) {
			assert.Equal(t, a.Outcome, retrier.OutcomeUnknown)
			assert.Equal(t, a.Reason, exchanger.ReasonMalformedAnswer)
		})
	})
	t.Run("another process at the address has run nothing, and is named", func(t *testing.T) {
		text := "HTTP/1.1 421 Misdirected Request\r\nX-Id: r-1\r\nX-Target: i-9\r\nContent-Length: 0\r\n\r\n"
		dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, _ http.Header) {
			assert.Equal(t, a.Outcome, retrier.OutcomeNotRun)
			assert.Equal(t, a.Reason, exchanger.ReasonWrongTarget)
			assert.Equal(t, a.TargetID, "i-9")
		})
	})
	t.Run("an answer that ends with its connection is whole", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\nwhole"
		dispatchSigned(t, text, func(t *testing.T, a *exchanger.Answer, _ http.Header) {
			body, err := io.ReadAll(a.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "whole")
		})
	})
}
