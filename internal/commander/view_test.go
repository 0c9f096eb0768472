package commander

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/answerer"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/inspector"
)

// runNodes runs "nodes" against a handler in place of a node, checks the exit code and returns the output.
func runNodes(t *testing.T, h http.Handler, want int) string {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	var out strings.Builder
	c := New(&out, io.Discard)
	assert.Equal(t, c.Run(t.Context(), []string{"nodes", "--node", server.Listener.Addr().String()}), want)
	return out.String()
}

func TestNodesOverHTTP(t *testing.T) {
	t.Run("a node", func(t *testing.T) {
		state := &blackboard.State{Self: blackboard.Self{Host: "reyk-a-1", DataCentre: "reyk-a"}}
		node := &inspector.Inspector{Read: func() *blackboard.State { return state }}
		out := runNodes(t, node.Handler(), ExitDone)
		assert.Assert(t, strings.Contains(out, "nodes known to reyk-a-1 in reyk-a"), out)
	})
	t.Run("another server", func(t *testing.T) {
		runNodes(t, http.NotFoundHandler(), ExitUnreachable)
	})
}

// TestNodesOverBrokenHTTP guards against a view that is shown although the answer is none.
func TestNodesOverBrokenHTTP(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nX Field: v\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 000 OK\r\n"} {
		t.Run(head, func(t *testing.T) {
			a, err := answerer.Listen("127.0.0.1:0", answerer.Fixed(head+"Content-Length: 2\r\n\r\n{}"))
			assert.NilError(t, err)
			defer a.Close()
			assert.Equal(t, New(io.Discard, io.Discard).Run(t.Context(), []string{"nodes", "--node", a.Address}), ExitUnreachable)
		})
	}
}
