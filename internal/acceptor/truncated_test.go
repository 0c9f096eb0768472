package acceptor

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// readTruncated sends a request to a server whose handler breaks off its answer, over TCP,
// and returns how a caller reads that answer.
func readTruncated(t *testing.T, request string, header http.Header) (body string, err error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &Server{MaxHeaderBytes: 8 << 10, Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return srv.Serve(ctx, ln) })
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, request)
	assert.NilError(t, err)
	text, err := io.ReadAll(c)
	return string(text), err
}

// TestTruncatedAnswerOverTCP guards against an answer that breaks off halfway and looks
// complete to the caller, in each of the ways that an answer may end.
func TestTruncatedAnswerOverTCP(t *testing.T) {
	t.Run("by the end of the connection", func(t *testing.T) {
		_, err := readTruncated(t, "GET / HTTP/1.0\r\n\r\n", nil)
		assert.ErrorContains(t, err, "reset")
	})
	t.Run("by a last chunk", func(t *testing.T) {
		text, _ := readTruncated(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", nil)
		assert.Assert(t, !strings.HasSuffix(text, "\r\n0\r\n\r\n"))
	})
	t.Run("by a length", func(t *testing.T) {
		text, _ := readTruncated(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", http.Header{"Content-Length": {"100000"}})
		assert.Assert(t, strings.Contains(text, "Content-Length: 100000") && len(text) < 100000)
	})
}
