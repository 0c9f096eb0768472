package receiver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
)

// reply is an answer as received by a caller.
type reply struct {
	status           int
	header           http.Header
	closesConnection bool
	body             []byte
	bodyErr          error
	err              error
}

func (r reply) outcome() retrier.Outcome {
	return retrier.Outcome(r.header.Get(exchanger.HeaderOutcome))
}

func (r reply) reason() exchanger.Reason {
	return exchanger.Reason(r.header.Get(exchanger.HeaderReason))
}

// isComplete reports whether the caller received an answer to its end.
func (r reply) isComplete() bool { return r.err == nil && r.bodyErr == nil }

// send sends a request to the node at an index and reads the answer.
func (m *mesh) send(ctx context.Context, i int, method, path string, body io.Reader, header map[string]string) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.nodes[i].callers+path, body)
	if err != nil {
		return reply{err: err}
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := m.client()
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	out := reply{status: resp.StatusCode, header: resp.Header, closesConnection: resp.Close}
	out.body, out.bodyErr = io.ReadAll(resp.Body)
	return out
}

func withID(id string) map[string]string { return map[string]string{exchanger.HeaderRequestID: id} }

func assertDone(t *testing.T, r reply) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.NilError(t, r.bodyErr)
	assert.Equal(t, r.outcome(), retrier.OutcomeDone, "reason %q", r.reason())
	assert.Equal(t, r.status, http.StatusOK)
}

// clearPools drops pooled objects: yamux keeps timers in a sync.Pool, and a timer of
// one synctest bubble must not be used in the next. A pool is empty after two
// garbage collections.
func clearPools() {
	runtime.GC()
	runtime.GC()
}

// runInMesh runs a test in a mesh on in-memory connections under fake time.
func runInMesh(t *testing.T, nodes int, cfg targeter.Config, f func(t *testing.T, m *mesh)) {
	t.Helper()
	clearPools()
	synctest.Test(t, func(t *testing.T) {
		m := newPipeMesh(nodes, cfg)
		defer m.close(t)
		f(t, m)
	})
}

func TestPath(t *testing.T) {
	t.Run("a read at the node of the target", func(t *testing.T) {
		runInMesh(t, 1, targeter.Config{}, func(t *testing.T, m *mesh) {
			r := m.send(t.Context(), 0, "GET", "/read?bytes=5", nil, withID("r-1"))
			assertDone(t, r)
			assert.Equal(t, string(r.body), "r-1 r")
			assert.Equal(t, r.header.Get(exchanger.HeaderTarget), "reyk-a-0")
			assert.Equal(t, r.header.Get(exchanger.HeaderConfigVersion), "7")
		})
	})
	t.Run("a read through a peer", func(t *testing.T) {
		runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
			m.removeTarget(0)
			r := m.send(t.Context(), 0, "GET", "/read?bytes=100000", nil, withID("r-1"))
			assertDone(t, r)
			assert.DeepEqual(t, r.body, targeter.Pattern("r-1", 100000))
			assert.Equal(t, r.header.Get(exchanger.HeaderTarget), "reyk-a-1")
		})
	})
	t.Run("an upload through a peer", func(t *testing.T) {
		runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
			m.removeTarget(0)
			body := targeter.Pattern("video", 3<<20)
			r := m.send(t.Context(), 0, "POST", "/upload", io.MultiReader(bytes.NewReader(body)), withID("u-1"))
			assertDone(t, r)
			assertReceived(t, r, "u-1", body)
		})
	})
	t.Run("no route", func(t *testing.T) {
		runInMesh(t, 1, targeter.Config{}, func(t *testing.T, m *mesh) {
			r := m.send(t.Context(), 0, "GET", "/nothing", nil, nil)
			assert.Equal(t, r.status, http.StatusNotFound)
			assert.Equal(t, r.outcome(), retrier.OutcomeNotRun)
			assert.Equal(t, r.reason(), exchanger.ReasonNoRoute)
		})
	})
}

func TestCallerHeaders(t *testing.T) {
	cases := []struct {
		name, header, value string
		outcome             retrier.Outcome
		status              int
	}{
		{"the greatest depth", exchanger.HeaderDepth, "10", retrier.OutcomeDone, http.StatusOK},
		{"too great a depth", exchanger.HeaderDepth, "11", retrier.OutcomeNotRun, http.StatusServiceUnavailable},
		{"a malformed depth", exchanger.HeaderDepth, "deep", retrier.OutcomeNotRun, http.StatusBadRequest},
		{"enough time", exchanger.HeaderDeadline, "5000", retrier.OutcomeDone, http.StatusOK},
		{"too little time", exchanger.HeaderDeadline, "500", retrier.OutcomeUnknown, http.StatusGatewayTimeout},
		{"a malformed deadline", exchanger.HeaderDeadline, "-1", retrier.OutcomeNotRun, http.StatusBadRequest},
		{"a key that is too long", exchanger.HeaderIdempotencyKey, strings.Repeat("k", 256), retrier.OutcomeNotRun, http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInMesh(t, 2, targeter.Config{ServiceTime: time.Second}, func(t *testing.T, m *mesh) {
				forwardToPeer(m)
				r := m.send(t.Context(), 0, "POST", "/book", nil, map[string]string{c.header: c.value})
				assertOutcome(t, r, c.outcome, c.status)
			})
		})
	}
}

// TestAnswerArrivesBeforeDeadline guards against a final answer that is sent when the
// caller's deadline passes: the caller has closed the connection by then, and the
// answers to the requests that are pipelined behind are lost.
func TestAnswerArrivesBeforeDeadline(t *testing.T) {
	for header, want := range map[string]time.Duration{"500": 490 * time.Millisecond, "100": 95 * time.Millisecond} {
		runInMesh(t, 2, targeter.Config{ServiceTime: time.Second}, func(t *testing.T, m *mesh) {
			forwardToPeer(m)
			sent := time.Now()
			r := m.send(t.Context(), 0, "POST", "/book", nil, map[string]string{exchanger.HeaderDeadline: header})
			assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
			assert.Equal(t, time.Since(sent), want)
		})
	}
}

// assertReceived checks that the target has read the whole body of the request.
func assertReceived(t *testing.T, r reply, id string, body []byte) {
	t.Helper()
	var got targeter.Answer
	assert.NilError(t, json.Unmarshal(r.body, &got))
	sum := sha256.Sum256(body)
	assert.DeepEqual(t, got, targeter.Answer{RequestID: id, Bytes: int64(len(body)), SHA256: hex.EncodeToString(sum[:])})
}
