package receiver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
)

// sendPipelined sends all requests on one connection before it reads their answers.
func (m *mesh) sendPipelined(t *testing.T, i int, method string, paths ...string) []reply {
	t.Helper()
	nc, err := m.pipes.dial(t.Context(), "tcp", m.nodes[i].callers)
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
					replies := m.sendPipelined(t, 0, method, "/book?bytes=2000", "/book?bytes=2000", "/book?bytes=2000")
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
