package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

// endlessTarget writes a start and then the same piece until its connection is closed.
type endlessTarget struct {
	start, piece string
	// pause between two pieces.
	pause time.Duration
	// written counts the bytes that were taken from it.
	written atomic.Int64
}

func (e *endlessTarget) serve(_ int, c net.Conn, r *bufio.Reader) {
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	for text := e.start; ; text = e.piece {
		n, err := io.WriteString(c, text)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

// dispatchEndless sends a request to the target, passes the answer to check, and
// returns how long the answer took. The request has a deadline of 10 s.
func (e *endlessTarget) dispatch(t *testing.T, check func(t *testing.T, a *exchanger.Answer)) time.Duration {
	t.Helper()
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		target := &fakeTarget{serve: e.serve}
		client := NewHTTP(WithDial(target.dial), WithDialect(signedDialect()))
		begun := time.Now()
		a := client.Dispatch(context.Background(), "target:1", testRequest("r-1"))
		took = time.Since(begun)
		check(t, a)
		a.Close()
		client.Close()
		target.group.Wait()
	})
	return took
}

func assertOutcome(o retrier.Outcome) func(t *testing.T, a *exchanger.Answer) {
	return func(t *testing.T, a *exchanger.Answer) {
		t.Helper()
		assert.Equal(t, a.Outcome, o)
	}
}

// TestBytesWithoutEnd guards against a target that sends bytes that are no answer until
// its connection is closed: they must neither be stored without bound, nor be taken
// for an answer, nor hold a request whose outcome is known.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		// maxBytes is what a node may take of them, far below the memory of the process.
		maxBytes = 4 << 20
		head     = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n"
		crossed  = "HTTP/1.1 200 OK\r\nX-Id: r-0\r\nX-Signature: s\r\n"
		notRun   = "HTTP/1.1 503 Busy\r\nX-Id: r-1\r\nGentian-Shed: not-run\r\n"
		chunked  = "Transfer-Encoding: chunked\r\n\r\n"
	)
	block := strings.Repeat("x", 32<<10)
	for name, target := range map[string]*endlessTarget{
		"in a status line":                            {start: "HTTP/1.1 200 ", piece: block},
		"in a header":                                 {start: head + "X-Long: ", piece: block},
		"as headers":                                  {start: head, piece: "X-More: " + block + "\r\n"},
		"as bytes that are no head":                   {start: block, piece: block},
		"as empty lines":                              {start: "\r\n", piece: strings.Repeat("\r\n", 1024)},
		"as interim answers":                          {start: "HTTP/1.1 100 Continue\r\n\r\n", piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"as answers to other requests":                {start: crossed + "Content-Length: 1\r\n\r\nx", piece: crossed + "Content-Length: 1\r\n\r\nx"},
		"in the body of an answer to another request": {start: crossed + "\r\n", piece: block},
		"in the chunked body of an answer to another request": {start: crossed + chunked, piece: "8000\r\n" + block + "\r\n"},
		"in a chunk length": {start: crossed + chunked, piece: block},
	} {
		t.Run(name, func(t *testing.T) {
			took := target.dispatch(t, assertOutcome(retrier.OutcomeUnknown))
			assert.Assert(t, took < 10*time.Second, "held until the deadline")
			assert.Assert(t, target.written.Load() <= maxBytes, "%d bytes taken", target.written.Load())
		})
	}
	for name, target := range map[string]*endlessTarget{
		"in the body of a refusal":                {start: notRun + "\r\n", piece: block},
		"in the chunked body of a refusal":        {start: notRun + chunked, piece: "8000\r\n" + block + "\r\n"},
		"slowly in the chunked body of a refusal": {start: notRun + chunked, piece: "1\r\nx\r\n", pause: 100 * time.Millisecond},
		"slowly in the long body of a refusal":    {start: notRun + "Content-Length: 1000000\r\n\r\n", piece: "x", pause: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			took := target.dispatch(t, assertOutcome(retrier.OutcomeNotRun))
			assert.Equal(t, took, time.Duration(0), "a refusal was held")
			assert.Assert(t, target.written.Load() <= maxBytes, "%d bytes taken", target.written.Load())
		})
	}
	for name, target := range map[string]*endlessTarget{
		"in the body of an answer":         {start: head + "\r\n", piece: block, pause: 100 * time.Millisecond},
		"in the chunked body of an answer": {start: head + chunked, piece: "8000\r\n" + block + "\r\n", pause: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			target.dispatch(t, func(t *testing.T, a *exchanger.Answer) {
				assert.Equal(t, a.Outcome, retrier.OutcomeDone)
				begun := time.Now()
				_, err := io.Copy(io.Discard, a.Body)
				assert.Assert(t, err != nil, "the answer looks complete")
				assert.Equal(t, time.Since(begun), 10*time.Second)
			})
		})
	}
}
