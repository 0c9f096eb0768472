package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/acceptor"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
)

// sendPipelined sends all requests on one connection to an address before it reads their
// answers.
func (m *mesh) sendPipelined(t *testing.T, address, method string, paths ...string) []reply {
	t.Helper()
	nc, err := m.pipes.dial(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer nc.Close()
	var text strings.Builder
	for n, path := range paths {
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: a.example\r\n%s: p-%d\r\n\r\n", method, path, exchanger.HeaderRequestID, n)
	}
	_, err = io.WriteString(nc, text.String())
	assert.NilError(t, err)
	r := bufio.NewReader(nc)
	replies := make([]reply, len(paths))
	for n := range paths {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			replies[n].err = err
			continue
		}
		replies[n].status, replies[n].header = resp.StatusCode, resp.Header
		replies[n].body, replies[n].bodyErr = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	return replies
}

// TestTruncatedAnswerBeforeOthers guards the answers to the requests that are pipelined
// behind one whose target breaks its answer off: they were lost with the connection.
func TestTruncatedAnswerBeforeOthers(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, nodes := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s over %d nodes", method, nodes), func(t *testing.T) {
				cfg := targeter.Config{Choose: func(id string) targeter.Fault {
					if id == "p-0" {
						return targeter.FaultCutAfter
					}
					return targeter.FaultNone
				}}
				runInMesh(t, nodes, cfg, func(t *testing.T, m *mesh) {
					forwardToPeer(m)
					replies := m.sendPipelined(t, m.nodes[0].callers, method, "/book?bytes=2000", "/book?bytes=2000", "/book?bytes=2000")
					assertOutcome(t, replies[0], retrier.OutcomeUnknown, http.StatusGatewayTimeout)
					for n, r := range replies[1:] {
						assertDone(t, r)
						assert.DeepEqual(t, r.body, targeter.Pattern(fmt.Sprintf("p-%d", n+1), 2000))
					}
				})
			})
		}
	}
}

// serveConcurrently serves callers of a node at another address by the server that runs
// pipelined requests at once, and returns the address.
func (m *mesh) serveConcurrently(t *testing.T, i int) string {
	t.Helper()
	ln := m.pipes.listen("concurrent")
	ctx, cancel := context.WithCancel(t.Context())
	server := &acceptor.Server{Handler: m.nodes[i].receiver}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return ln.Addr().String()
}

// TestTruncatedChunksBeforeOthers guards the same answers behind one that states no length.
func TestTruncatedChunksBeforeOthers(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, nodes := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s over %d nodes", method, nodes), func(t *testing.T) {
				cfg := targeter.Config{ServiceTime: 100 * time.Millisecond, Choose: func(id string) targeter.Fault {
					if id == "p-0" {
						return targeter.FaultCutAfter
					}
					return targeter.FaultNone
				}}
				runInMesh(t, nodes, cfg, func(t *testing.T, m *mesh) {
					forwardToPeer(m)
					const path = "/book?bytes=9000&chunked"
					replies := m.sendPipelined(t, m.serveConcurrently(t, 0), method, path, path, path)
					assertOutcome(t, replies[0], retrier.OutcomeUnknown, http.StatusGatewayTimeout)
					for n, r := range replies[1:] {
						assertDone(t, r)
						assert.DeepEqual(t, r.body, targeter.Pattern(fmt.Sprintf("p-%d", n+1), 9000))
					}
				})
			})
		}
	}
}

// TestLengthOfAnswer guards the stated length of an answer to a HEAD request, which has no
// body, and of one that states no length.
func TestLengthOfAnswer(t *testing.T) {
	pipelined := func() bool { return false }
	lengthOf := func(method string, stated int64, body string) int64 {
		a := &exchanger.Answer{Outcome: retrier.OutcomeDone, ContentLength: stated, Body: io.NopCloser(strings.NewReader(body))}
		return readWhole(t.Context(), &exchanger.Request{Method: method}, a, pipelined).ContentLength
	}
	assert.Equal(t, lengthOf(http.MethodHead, 2000, ""), int64(2000))
	assert.Equal(t, lengthOf(http.MethodHead, -1, ""), int64(-1))
	assert.Equal(t, lengthOf(http.MethodGet, 5, "whole"), int64(5))
	assert.Equal(t, lengthOf(http.MethodGet, -1, "whole"), int64(5))
	assert.Equal(t, lengthOf(http.MethodGet, -1, strings.Repeat("x", maxWholeAnswerBytes+1)), int64(-1))
}

func TestTruncatedReadIsRetried(t *testing.T) {
	runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
		for _, n := range m.nodes[:2] {
			n.target.SetFaults(targeter.Faults{Fault: targeter.FaultCutAfter, Count: 1})
		}
		r := m.send(t.Context(), 0, "GET", "/read?bytes=2000", nil, withID("r-1"))
		assertDone(t, r)
		assert.DeepEqual(t, r.body, targeter.Pattern("r-1", 2000))
	})
}
