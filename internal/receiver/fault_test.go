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

// detectWithin is how soon a silent connection between nodes must be noticed.
const detectWithin = 5 * time.Second

// assertTruthful checks an answer to a request that is not idempotent against
// what the targets have executed.
func assertTruthful(t *testing.T, m *mesh, id string, r reply) {
	t.Helper()
	executed := m.counts().ByRequest[id]
	assert.Assert(t, executed <= 1, "request %s ran %d times", id, executed)
	switch r.outcome() {
	case retrier.OutcomeNotRun:
		assert.Equal(t, executed, 0, "request %s was said not to have run (%s)", id, r.reason())
	case retrier.OutcomeDone:
		assert.Equal(t, executed, 1, "request %s was said to be done", id)
	}
}

func assertOutcome(t *testing.T, r reply, o retrier.Outcome, status int) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.outcome(), o, "reason %q", r.reason())
	assert.Equal(t, r.status, status)
}

// viaPeer makes node 0 forward everything to node 1.
func viaPeer(m *mesh) {
	if len(m.nodes) > 1 {
		m.noTarget(0)
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
				inMesh(t, nodes, cfg, func(t *testing.T, m *mesh) {
					viaPeer(m)
					r := m.ask(t.Context(), 0, "POST", "/book", bytes.NewReader([]byte("order")), withID("b-1"))
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
				inMesh(t, nodes, cfg, func(t *testing.T, m *mesh) {
					viaPeer(m)
					r := m.ask(t.Context(), 0, "POST", path, nil, withID("b-1"))
					assert.Assert(t, !r.whole(), "the caller took half an answer for a whole one")
					assert.Equal(t, m.counts().ByRequest["b-1"], 1)
				})
			})
		}
	}
}

func TestIdempotentRetry(t *testing.T) {
	for _, fault := range []targeter.Fault{targeter.FaultCutBefore, targeter.FaultCutDuring, targeter.FaultCrossed} {
		t.Run(string(fault), func(t *testing.T) {
			inMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
				for _, n := range m.nodes {
					n.target.SetFaults(targeter.Faults{Fault: fault, Count: 1})
				}
				m.nodes[2].target.SetFaults(targeter.Faults{})
				r := m.ask(t.Context(), 0, "GET", "/read?bytes=9", nil, withID("r-1"))
				assertDone(t, r)
				assert.DeepEqual(t, r.body, targeter.Pattern("r-1", 9))
			})
		})
	}
}

// TestFailureBelow has the first target that is asked shed. A target without
// room is worth another try elsewhere; one whose own call failed is not, since
// the node of that call has already decided on retries.
func TestFailureBelow(t *testing.T) {
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
			inMesh(t, 3, targeter.Config{Choose: first}, func(t *testing.T, m *mesh) {
				r := m.ask(t.Context(), 0, "GET", "/read?bytes=9", nil, withID("r-1"))
				assert.Equal(t, r.outcome(), want)
				assert.Equal(t, r.header.Get(exchanger.HeaderRetried) == "true", want == retrier.OutcomeNotRun)
			})
		})
	}
}

func TestNodeKilled(t *testing.T) {
	inMesh(t, 2, targeter.Config{ServiceTime: 3 * time.Second}, func(t *testing.T, m *mesh) {
		viaPeer(m)
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(time.Second)
			m.nodes[1].kill()
		})
		r := m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
		group.Wait()
		assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
		assertTruthful(t, m, "b-1", r)
		synctest.Wait()
		r = m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-2"))
		assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
		assertTruthful(t, m, "b-2", r)
	})
}

func TestSilentConnection(t *testing.T) {
	cases := []struct {
		name string
		// idle is how long the connections are unused before they go silent.
		idle time.Duration
	}{
		{"of a session in use", 2 * time.Second},
		{"of a session at rest", 20 * time.Second},
	}
	for _, c := range cases {
		t.Run("before dispatch, "+c.name, func(t *testing.T) {
			inMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
				viaPeer(m)
				assertDone(t, m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-0")))
				time.Sleep(c.idle)
				m.pipes.silence(m.nodes[1].address)
				time.Sleep(2 * time.Second)
				begun := time.Now()
				r := m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
				assertDone(t, r)
				assert.Assert(t, time.Since(begun) < detectWithin)
				assertTruthful(t, m, "b-1", r)
			})
		})
	}
	t.Run("after dispatch", func(t *testing.T) {
		inMesh(t, 2, targeter.Config{ServiceTime: 8 * time.Second}, func(t *testing.T, m *mesh) {
			viaPeer(m)
			var group sync.WaitGroup
			group.Go(func() {
				time.Sleep(time.Second)
				m.pipes.silence(m.nodes[1].address)
			})
			begun := time.Now()
			r := m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
			group.Wait()
			assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
			assert.Assert(t, time.Since(begun) < time.Second+detectWithin, "took %s", time.Since(begun))
			assertTruthful(t, m, "b-1", r)
		})
	})
	t.Run("to the target, after a rest", func(t *testing.T) {
		inMesh(t, 1, targeter.Config{}, func(t *testing.T, m *mesh) {
			assertDone(t, m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-0")))
			m.pipes.silence(m.nodes[0].host + targetPort)
			time.Sleep(2 * time.Second)
			assertDone(t, m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-1")))
		})
	})
}

// slowBody sends size bytes, a part each second.
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

// uploadDuring uploads for ten seconds while event happens after three.
func uploadDuring(t *testing.T, m *mesh, event func()) {
	t.Helper()
	body := targeter.Pattern("video", 100_000)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(3 * time.Second)
		event()
	})
	r := m.ask(t.Context(), 0, "POST", "/upload", &slowBody{data: body, part: 10_000}, withID("u-1"))
	group.Wait()
	assertDone(t, r)
	assertReceived(t, r, "u-1", body)
	assertTruthful(t, m, "u-1", r)
}

func TestDrainOfTarget(t *testing.T) {
	t.Run("an upload under way ends whole", func(t *testing.T) {
		inMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
			viaPeer(m)
			uploadDuring(t, m, func() { m.nodes[1].setPhase(blackboard.TargetDraining) })
		})
	})
	t.Run("new work moves on although the peer's view is stale", func(t *testing.T) {
		inMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
			m.noTarget(0)
			m.nodes[1].setPhase(blackboard.TargetDraining)
			for i := range 20 {
				id := fmt.Sprintf("b-%d", i)
				r := m.ask(t.Context(), 0, "POST", "/book", nil, withID(id))
				assertDone(t, r)
				assertTruthful(t, m, id, r)
			}
			assert.Equal(t, len(m.nodes[1].target.Counts().ByRequest), 0)
		})
	})
}

func TestCallerGone(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		t.Run(fmt.Sprintf("during an upload over %d nodes", nodes), func(t *testing.T) {
			inMesh(t, nodes, targeter.Config{}, func(t *testing.T, m *mesh) {
				viaPeer(m)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				body := &slowBody{data: targeter.Pattern("video", 100_000), part: 10_000}
				r := m.ask(ctx, 0, "POST", "/upload", body, withID("u-1"))
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
			t.Run(fmt.Sprintf("the slot is free at once, %s over %d nodes", path, nodes), func(t *testing.T) {
				service := time.Duration(0)
				if path == "/book" {
					service = 8 * time.Second
				}
				inMesh(t, nodes, targeter.Config{ServiceTime: service}, func(t *testing.T, m *mesh) {
					viaPeer(m)
					m.askAndLeave(t, 0, path, time.Second)
					synctest.Wait()
					load, _ := m.nodes[nodes-1].executor.Load()
					assert.Equal(t, load.InFlight, 0)
				})
			})
		}
	}
	t.Run("a cancelled exchange frees its slot and its connection is not used again", func(t *testing.T) {
		inMesh(t, 2, targeter.Config{ServiceTime: time.Second}, func(t *testing.T, m *mesh) {
			viaPeer(m)
			for i := range 20 {
				after := time.Second + time.Duration(i-10)*time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), after)
				id := fmt.Sprintf("b-%d", i)
				r := m.ask(ctx, 0, "POST", "/book?bytes=40", nil, withID(id))
				cancel()
				assertTruthful(t, m, id, r)
				r = m.ask(t.Context(), 0, "POST", "/book?bytes=40", nil, withID(id+"-next"))
				assertDone(t, r)
				assert.DeepEqual(t, r.body, targeter.Pattern(id+"-next", 40))
			}
			synctest.Wait()
			load, _ := m.nodes[1].executor.Load()
			assert.Equal(t, load.InFlight, 0)
		})
	})
}

// askAndLeave sends a request and goes away after a time without reading the answer.
func (m *mesh) askAndLeave(t *testing.T, i int, path string, after time.Duration) {
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
			inMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
				viaPeer(m)
				n := m.nodes[stopped]
				board := startDrainer(m, n)
				uploadDuring(t, m, func() {
					board.Post(blackboard.StopRequested{Now: time.Now()})
					time.Sleep(2 * time.Second)
					assert.Equal(t, board.Read().Lifecycle.Phase, blackboard.LifecycleDraining)
					r := m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
					assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusServiceUnavailable)
					assert.Equal(t, r.reason(), exchanger.ReasonNodeDraining)
					assert.Equal(t, r.closes, stopped == 0)
					assertTruthful(t, m, "b-1", r)
				})
				time.Sleep(2 * time.Second)
				assert.Equal(t, board.Read().Lifecycle.Phase, blackboard.LifecycleStopped)
			})
		})
	}
}

func TestSpillPastDrainingNode(t *testing.T) {
	inMesh(t, 3, targeter.Config{}, func(t *testing.T, m *mesh) {
		m.noTarget(0)
		m.nodes[1].tracker.Close()
		for i := range 10 {
			assertDone(t, m.ask(t.Context(), 0, "POST", "/book", nil, withID(fmt.Sprintf("b-%d", i))))
		}
	})
}

func TestConnectionCut(t *testing.T) {
	for _, port := range []string{targetPort, nodePort} {
		t.Run("after dispatch, port "+port, func(t *testing.T) {
			inMesh(t, 2, targeter.Config{ServiceTime: 3 * time.Second}, func(t *testing.T, m *mesh) {
				viaPeer(m)
				var group sync.WaitGroup
				group.Go(func() {
					time.Sleep(time.Second)
					m.pipes.cut(m.nodes[1].host + port)
				})
				r := m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-1"))
				group.Wait()
				assertOutcome(t, r, retrier.OutcomeUnknown, http.StatusGatewayTimeout)
				assertTruthful(t, m, "b-1", r)
				assertDone(t, m.ask(t.Context(), 0, "POST", "/book", nil, withID("b-2")))
			})
		})
	}
}
