package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

// scriptedConn is a connection to a target that has answered and reads no more of the
// request. Its reads and its write end at set times.
type scriptedConn struct {
	net.Conn
	opened time.Time
	// text is what is read before readErrs.
	text string
	// readErrs are returned by the reads after text, the last one by all others; the first
	// of them at readEnds.
	readErrs []error
	readEnds time.Duration
	// writeErr is returned by the second write at writeEnds, or as soon as the connection is
	// closed if writeEnds is 0.
	writeErr  error
	writeEnds time.Duration

	writes    int
	closed    chan struct{}
	closeOnce *sync.Once
}

// opError returns an error as package net returns those of the operating system.
func opError(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.text != "" {
		n := copy(p, c.text)
		c.text = c.text[n:]
		return n, nil
	}
	select {
	case <-time.After(c.readEnds - time.Since(c.opened)):
	case <-c.closed:
		return 0, net.ErrClosed
	}
	err := c.readErrs[0]
	if len(c.readErrs) > 1 {
		c.readErrs = c.readErrs[1:]
	}
	return 0, err
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return len(b), nil
	}
	var ends <-chan time.Time
	if c.writeEnds > 0 {
		ends = time.After(c.writeEnds - time.Since(c.opened))
	}
	select {
	case <-ends:
	case <-c.closed:
	}
	return 0, c.writeErr
}

func (c *scriptedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// TestEndOfBody guards against a body that is shown as complete although a part of it is
// missing: a loss of the connection is reported once, and if the write of an upload sees
// it, the read of the answer ends as if the target had closed the connection. A body that is
// complete must not be lost for the same errors.
func TestEndOfBody(t *testing.T) {
	const early, late = time.Second, 2 * time.Second
	reset, pipe := opError("write", syscall.ECONNRESET), opError("write", syscall.EPIPE)
	readReset := opError("read", syscall.ECONNRESET)
	cases := []struct {
		name       string
		conn       scriptedConn
		isComplete bool
	}{
		{"end while the upload goes on", scriptedConn{readErrs: []error{io.EOF}, readEnds: early, writeErr: net.ErrClosed}, true},
		{"end, then a failed write", scriptedConn{readErrs: []error{io.EOF}, readEnds: early, writeErr: pipe, writeEnds: late}, true},
		{"a write that sees the end, then the end", scriptedConn{readErrs: []error{io.EOF}, readEnds: late, writeErr: pipe, writeEnds: early}, true},
		{"a write that took too long, then the end", scriptedConn{readErrs: []error{io.EOF}, readEnds: late, writeErr: &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, writeEnds: early}, true},
		{"a write that sees the reset, then the end", scriptedConn{readErrs: []error{io.EOF}, readEnds: late, writeErr: reset, writeEnds: early}, false},
		{"a write that sees the reset, and the end at once", scriptedConn{readErrs: []error{io.EOF}, readEnds: early, writeErr: reset}, false},
		{"a write that sees a silent peer, then the end", scriptedConn{readErrs: []error{io.EOF}, readEnds: late, writeErr: opError("write", syscall.ETIMEDOUT), writeEnds: early}, false},
		{"a read that sees the reset", scriptedConn{readErrs: []error{readReset}, readEnds: early, writeErr: pipe, writeEnds: late}, false},
		{"a read that sees the reset, then the end", scriptedConn{readErrs: []error{readReset, io.EOF}, readEnds: early, writeErr: pipe, writeEnds: late}, false},
		{"a read that sees the reset after a failed write", scriptedConn{readErrs: []error{readReset}, readEnds: late, writeErr: pipe, writeEnds: early}, false},
	}
	framings := []struct {
		name, header, body string
		// isWhole is set if the body shows by itself that it is complete, and isCut if it
		// shows that it is not.
		isWhole, isCut bool
	}{
		{"without a length", "", "body", false, false},
		{"with its length", "Content-Length: 4\r\n", "body", true, false},
		{"with a greater length", "Content-Length: 5\r\n", "body", false, true},
		{"with its last chunk", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", true, false},
		{"with a chunk", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n", false, true},
		{"with an end of chunks that is cut", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n", false, true},
	}
	for _, f := range framings {
		for i := range cases {
			t.Run(f.name+"/"+cases[i].name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := cases[i].conn
					c.opened, c.closed, c.closeOnce = time.Now(), make(chan struct{}), &sync.Once{}
					c.text = "HTTP/1.1 200 OK\r\nGentian-Request-Id: r-1\r\n" + f.header + "\r\n" + f.body
					client := NewHTTP(WithDial(func(context.Context, string, string) (net.Conn, error) { return &c, nil }))
					r := testRequest("r-1")
					r.ContentLength = 4 * bufferBytes
					r.Body = bytes.NewReader(make([]byte, r.ContentLength))
					a := client.Dispatch(t.Context(), "target:1", r)
					assert.Equal(t, a.Outcome, retrier.OutcomeDone)
					body, err := io.ReadAll(a.Body)
					assert.Equal(t, string(body), "body")
					isComplete := f.isWhole || cases[i].isComplete && !f.isCut
					assert.Equal(t, err == nil, isComplete, "%v", err)
					_, again := a.Body.Read(make([]byte, 1))
					assert.Equal(t, errors.Is(again, io.EOF) && !errors.Is(again, io.ErrUnexpectedEOF), isComplete, "a further read: %v", again)
					a.Close()
					select {
					case <-c.closed:
					default:
						t.Error("the connection was kept")
					}
				})
			})
		}
	}
}

// TestTrailers guards against trailers that are no fields: they end a body whose end cannot
// be told, while sound ones come behind one that is complete.
func TestTrailers(t *testing.T) {
	for trailer, isSound := range map[string]bool{
		"":                         true,
		"X-Sum: 7\r\n":             true,
		"X-Sum: 7\r\nX-Other:\r\n": true,
		"X-Sum : 7\r\n":            false,
		"X Sum: 7\r\n":             false,
		"X-\x01: 7\r\n":            false,
		"no field\r\n":             false,
	} {
		t.Run(trailer, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
			dispatchSigned(t, head+"4\r\nbody\r\n0\r\n"+trailer+"\r\n", func(t *testing.T, a *exchanger.Answer, _ http.Header) {
				assert.Equal(t, a.Outcome, retrier.OutcomeDone)
				body, err := io.ReadAll(a.Body)
				assert.Equal(t, string(body), "body")
				assert.Equal(t, err == nil, isSound, "%v", err)
			})
		})
	}
}
