package receiver

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
)

// runWithMalformed runs a test in a mesh whose targets answer the first two requests with
// malformed heads. It passes how many requests they have run.
func runWithMalformed(t *testing.T, f func(t *testing.T, m *mesh, runs *atomic.Int64)) {
	t.Helper()
	clearPools()
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		network := pipeNetwork(p)
		var runs atomic.Int64
		network.configure = func(_ *Config, target http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) > 2 {
					target.ServeHTTP(w, r)
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				assert.NilError(t, err)
				defer c.Close()
				id := exchanger.HeaderRequestID + ": " + r.Header.Get(exchanger.HeaderRequestID)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+"\r\nContent-Length : 4\r\n\r\nbody")
			})
		}
		m := newMesh(network, 3, targeter.Config{})
		m.pipes = p
		defer m.close(t)
		f(t, m, &runs)
	})
}

// TestMalformedAnswer guards against a malformed answer that costs a request which another
// target can serve, and against one that lets a request run twice.
func TestMalformedAnswer(t *testing.T) {
	t.Run("an idempotent request is sent to another target", func(t *testing.T) {
		runWithMalformed(t, func(t *testing.T, m *mesh, runs *atomic.Int64) {
			r := m.send(t.Context(), 0, "GET", "/read?bytes=2000", nil, withID("r-1"))
			assertDone(t, r)
			assert.DeepEqual(t, r.body, targeter.Pattern("r-1", 2000))
			assert.Equal(t, runs.Load(), int64(3))
		})
	})
	t.Run("another request is not", func(t *testing.T) {
		runWithMalformed(t, func(t *testing.T, m *mesh, runs *atomic.Int64) {
			r := m.send(t.Context(), 0, "POST", "/book", nil, withID("r-1"))
			assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
			assert.Equal(t, r.reason(), exchanger.ReasonMalformedAnswer)
			assert.Equal(t, runs.Load(), int64(1))
		})
	})
}
