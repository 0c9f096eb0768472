package receiver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
)

// maxDetectionTime is how soon a silent connection between nodes must be detected.
const maxDetectionTime = 5 * time.Second

// assertMatchesRuns checks the outcome of a request that is not idempotent against
// how often the targets have run it.
func assertMatchesRuns(t *testing.T, m *mesh, id string, r reply) {
	t.Helper()
	executed := m.counts().ByRequest[id]
	assert.Assert(t, executed <= 1, "request %s ran %d times", id, executed)
	switch r.outcome() {
	case retrier.OutcomeNotRun:
		assert.Equal(t, executed, 0, "request %s was reported as not run (%s)", id, r.reason())
	case retrier.OutcomeDone:
		assert.Equal(t, executed, 1, "request %s was reported as done", id)
	}
}

func assertOutcome(t *testing.T, r reply, o retrier.Outcome, status int) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.outcome(), o, "reason %q", r.reason())
	assert.Equal(t, r.status, status)
}

// forwardToPeer makes node 0 forward all requests to node 1, if there is one.
func forwardToPeer(m *mesh) {
	if len(m.nodes) > 1 {
		m.removeTarget(0)
	}
}

func TestTargetFaults(t *testing.T) {
	cases := []struct {
		fault    targeter.Fault
		outcome  retrier.Outcome
		executed int
	}{
		{targeter.FaultCutBefore, retrier.OutcomeUnknown, 0},
		{targeter.FaultCutDuring, retrier.OutcomeUnknown, 1},
		{targeter.FaultLoseAnswer, retrier.OutcomeUnknown, 1},
		{targeter.FaultFrozen, retrier.OutcomeUnknown, 0},
		{targeter.FaultCrossed, retrier.OutcomeUnknown, 1},
		{targeter.FaultShed, retrier.OutcomeNotRun, 0},
	}
	status := map[retrier.Outcome]int{
		retrier.OutcomeUnknown: http.StatusGatewayTimeout, retrier.OutcomeNotRun: http.StatusServiceUnavailable,
	}
	for _, c := range cases {
		for _, nodes := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s over %d nodes", c.fault, nodes), func(t *testing.T) {
				cfg := targeter.Config{Choose: func(string) targeter.Fault { return c.fault }}
				runInMesh(t, nodes, cfg, func(t *testing.T, m *mesh) {
					forwardToPeer(m)
					r := m.send(t.Context(), 0, "POST", "/book", bytes.NewReader([]byte("order")), withID("b-1"))
					assertOutcome(t, r, c.outcome, status[c.outcome])
					assert.Equal(t, m.counts().ByRequest["b-1"], c.executed)
				})
			})
		}
	}
}

func TestTruncatedAnswer(t *testing.T) {
	for _, path := range []string{"/book?bytes=50000", "/book?bytes=50000&chunked"} {
		for _, nodes := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s over %d nodes", path, nodes), func(t *testing.T) {
				cfg := targeter.Config{Choose: func(string) targeter.Fault { return targeter.FaultCutAfter }}
				runInMesh(t, nodes, cfg, func(t *testing.T, m *mesh) {
					forwardToPeer(m)
					r := m.send(t.Context(), 0, "POST", path, nil, withID("b-1"))
					assert.Assert(t, !r.isComplete(), "the caller received a truncated answer as complete")
					assert.Equal(t, m.counts().ByRequest["b-1"], 1)
				})
			})
		}
	}
}

func TestIdempotentRetry(t *testing.T) {
	for _, fault := range []targeter.Fault{targeter.FaultCutBefore, targeter.FaultCutDuring, targeter.FaultCrossed} {
		t.Run(string(fault), func(t *testing.T) {
			runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
				for _, n := range m.nodes {
					n.target.SetFaults(targeter.Faults{Fault: fault, Count: 1})
				}
				m.nodes[2].target.SetFaults(targeter.Faults{})
				r := m.send(t.Context(), 0, "GET", "/read?bytes=9", nil, withID("r-1"))
				assertDone(t, r)
				assert.DeepEqual(t, r.body, targeter.Pattern("r-1", 9))
			})
		})
	}
}

// TestRetryOfShedRequest makes the first target shed the request. A request shed for lack
// of capacity is retried at another target. One shed because a call of the target
// itself failed is not, since the node of that call has already decided on retries:
// otherwise the retries of a chain of calls would multiply.
func TestRetryOfShedRequest(t *testing.T) {
	for fault, want := range map[targeter.Fault]retrier.Outcome{
		targeter.FaultShed:      retrier.OutcomeDone,
		targeter.FaultShedBelow: retrier.OutcomeNotRun,
	} {
		t.Run(string(fault), func(t *testing.T) {
			var asked atomic.Int32
			first := func(string) targeter.Fault {
				if asked.Add(1) == 1 {
					return fault
				}
				return targeter.FaultNone
			}
			runInMesh(t, 3, targeter.Config{Choose: first}, func(t *testing.T, m *mesh) {
				r := m.send(t.Context(), 0, "GET", "/read?bytes=9", nil, withID("r-1"))
				assert.Equal(t, r.outcome(), want)
				assert.Equal(t, r.header.Get(exchanger.HeaderRetried) == "true", want == retrier.OutcomeNotRun)
			})
		})
	}
}

func TestNodeKilled(t *testing.T) {
	runInMesh(t, 2, targeter.Config{ServiceTime: 3 * time.Second}, func(t *testing.T, m *mesh) {
		forwardToPeer(m)
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(time.Second)
			m.nodes[1].kill()
		})
		r := m.send(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
		group.Wait()
		assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
		assertMatchesRuns(t, m, "b-1", r)
		synctest.Wait()
		r = m.send(t.Context(), 0, "POST", "/book", nil, withID("b-2"))
		assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
		assertMatchesRuns(t, m, "b-2", r)
	})
}

func TestSilentConnection(t *testing.T) {
	cases := []struct {
		name string
		// idle is how long the connections are unused before they go silent.
		idle time.Duration
	}{
		{"of an active session", 2 * time.Second},
		{"of an idle session", 20 * time.Second},
	}
	for _, c := range cases {
		t.Run("before dispatch, "+c.name, func(t *testing.T) {
			runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
				forwardToPeer(m)
				assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withID("b-0")))
				time.Sleep(c.idle)
				m.pipes.blackhole(m.nodes[1].address)
				time.Sleep(2 * time.Second)
				start := time.Now()
				r := m.send(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
				assertDone(t, r)
				assert.Assert(t, time.Since(start) < maxDetectionTime)
				assertMatchesRuns(t, m, "b-1", r)
			})
		})
	}
	t.Run("after dispatch", func(t *testing.T) {
		runInMesh(t, 2, targeter.Config{ServiceTime: 8 * time.Second}, func(t *testing.T, m *mesh) {
			forwardToPeer(m)
			var group sync.WaitGroup
			group.Go(func() {
				time.Sleep(time.Second)
				m.pipes.blackhole(m.nodes[1].address)
			})
			start := time.Now()
			r := m.send(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
			group.Wait()
			assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
			assert.Assert(t, time.Since(start) < time.Second+maxDetectionTime, "took %s", time.Since(start))
			assertMatchesRuns(t, m, "b-1", r)
		})
	})
	t.Run("to the target, after an idle time", func(t *testing.T) {
		runInMesh(t, 1, targeter.Config{}, func(t *testing.T, m *mesh) {
			assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withID("b-0")))
			m.pipes.blackhole(m.nodes[0].host + targetPort)
			time.Sleep(2 * time.Second)
			assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withID("b-1")))
		})
	})
}

// slowBody returns data, a part of part bytes each second.
type slowBody struct {
	data []byte
	part int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Second)
	n := copy(p, b.data[:min(b.part, len(b.data))])
	b.data = b.data[n:]
	return n, nil
}

// uploadDuring checks that an upload of ten seconds completes although event happens
// after three.
func uploadDuring(t *testing.T, m *mesh, event func()) {
	t.Helper()
	body := targeter.Pattern("video", 100_000)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(3 * time.Second)
		event()
	})
	r := m.send(t.Context(), 0, "POST", "/upload", &slowBody{data: body, part: 10_000}, withID("u-1"))
	group.Wait()
	assertDone(t, r)
	assertReceived(t, r, "u-1", body)
	assertMatchesRuns(t, m, "u-1", r)
}

func TestTargetDrain(t *testing.T) {
	t.Run("an upload in progress completes", func(t *testing.T) {
		runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
			forwardToPeer(m)
			uploadDuring(t, m, func() { m.nodes[1].setPhase(blackboard.TargetDraining) })
		})
	})
	t.Run("new requests are rerouted although the peer's view is stale", func(t *testing.T) {
		runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			m.removeTarget(0)
			m.nodes[1].setPhase(blackboard.TargetDraining)
			for i := range 20 {
				id := fmt.Sprintf("b-%d", i)
				r := m.send(t.Context(), 0, "POST", "/book", nil, withID(id))
				assertDone(t, r)
				assertMatchesRuns(t, m, id, r)
			}
			assert.Equal(t, len(m.nodes[1].target.Counts().ByRequest), 0)
		})
	})
}

func TestCallerDisconnects(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		t.Run(fmt.Sprintf("during an upload over %d nodes", nodes), func(t *testing.T) {
			runInMesh(t, nodes, targeter.Config{}, func(t *testing.T, m *mesh) {
				forwardToPeer(m)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				body := &slowBody{data: targeter.Pattern("video", 100_000), part: 10_000}
				r := m.send(ctx, 0, "POST", "/upload", body, withID("u-1"))
				assert.Assert(t, r.err != nil)
				synctest.Wait()
				assert.Equal(t, m.counts().Completed["u-1"], 0)
				load, _ := m.nodes[nodes-1].executor.Load()
				assert.Equal(t, load.InFlight, 0)
			})
		})
	}
	for _, path := range []string{"/book", "/book?bytes=4000000"} {
		for _, nodes := range []int{1, 2} {
			t.Run(fmt.Sprintf("the slot is freed at once, %s over %d nodes", path, nodes), func(t *testing.T) {
				service := time.Duration(0)
				if path == "/book" {
					service = 8 * time.Second
				}
				runInMesh(t, nodes, targeter.Config{ServiceTime: service}, func(t *testing.T, m *mesh) {
					forwardToPeer(m)
					m.sendAndAbort(t, 0, path, time.Second)
					synctest.Wait()
					load, _ := m.nodes[nodes-1].executor.Load()
					assert.Equal(t, load.InFlight, 0)
				})
			})
		}
	}
	t.Run("a cancelled exchange frees its slot and its connection is not used again", func(t *testing.T) {
		runInMesh(t, 2, targeter.Config{ServiceTime: time.Second}, func(t *testing.T, m *mesh) {
			forwardToPeer(m)
			for i := range 20 {
				after := time.Second + time.Duration(i-10)*time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), after)
				id := fmt.Sprintf("b-%d", i)
				r := m.send(ctx, 0, "POST", "/book?bytes=40", nil, withID(id))
				cancel()
				assertMatchesRuns(t, m, id, r)
				r = m.send(t.Context(), 0, "POST", "/book?bytes=40", nil, withID(id+"-next"))
				assertDone(t, r)
				assert.DeepEqual(t, r.body, targeter.Pattern(id+"-next", 40))
			}
			synctest.Wait()
			load, _ := m.nodes[1].executor.Load()
			assert.Equal(t, load.InFlight, 0)
		})
	})
}

// sendAndAbort sends a request and aborts it after a time without reading the answer.
func (m *mesh) sendAndAbort(t *testing.T, i int, path string, after time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.nodes[i].callers+path, nil)
	assert.NilError(t, err)
	client := m.client()
	defer client.CloseIdleConnections()
	if resp, err := client.Do(req); err == nil {
		<-ctx.Done()
		_ = resp.Body.Close()
	}
}

func TestStopDuringUpload(t *testing.T) {
	for _, stopped := range []int{0, 1} {
		t.Run(fmt.Sprintf("of node %d", stopped), func(t *testing.T) {
			runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
				forwardToPeer(m)
				n := m.nodes[stopped]
				board := startDrainer(m, n)
				uploadDuring(t, m, func() {
					board.Post(blackboard.StopRequested{Now: time.Now()})
					time.Sleep(2 * time.Second)
					assert.Equal(t, board.Read().Lifecycle.Phase, blackboard.LifecycleDraining)
					r := m.send(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
					assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
					assert.Equal(t, r.reason(), exchanger.ReasonNodeDraining)
					assert.Equal(t, r.closesConnection, stopped == 0)
					assertMatchesRuns(t, m, "b-1", r)
				})
				time.Sleep(2 * time.Second)
				assert.Equal(t, board.Read().Lifecycle.Phase, blackboard.LifecycleStopped)
			})
		})
	}
}

func TestRerouteFromDrainingNode(t *testing.T) {
	runInMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
		m.removeTarget(0)
		m.nodes[1].tracker.Close()
		for i := range 10 {
			assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withID(fmt.Sprintf("b-%d", i))))
		}
	})
}

func TestConnectionCut(t *testing.T) {
	for _, port := range []string{targetPort, nodePort} {
		t.Run("after dispatch, port "+port, func(t *testing.T) {
			runInMesh(t, 2, targeter.Config{ServiceTime: 3 * time.Second}, func(t *testing.T, m *mesh) {
				forwardToPeer(m)
				var group sync.WaitGroup
				group.Go(func() {
					time.Sleep(time.Second)
					m.pipes.closeConns(m.nodes[1].host + port)
				})
				r := m.send(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
				group.Wait()
				assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
				assertMatchesRuns(t, m, "b-1", r)
				assertDone(t, m.send(t.Context(), 0, "POST", "/book", nil, withID("b-2")))
			})
		})
	}
}
