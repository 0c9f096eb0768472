package receiver

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
	"gentianbarrow.example/pkg/snapshotter"
)

// tokens counts the tokens of a firm at a node.
type tokens struct{ left, taken, returned int }

func (b *tokens) take(now time.Time, _ snapshotter.Firm) (time.Time, bool) {
	if b.left == 0 {
		return now.Add(300 * time.Millisecond), false
	}
	b.left--
	b.taken++
	return time.Time{}, true
}

func (b *tokens) giveBack(time.Time, snapshotter.Firm) { b.returned++ }

// limitFirm gives a firm with a limit to all nodes; its tokens at node 0 are returned.
func (m *mesh) limitFirm(left int) *tokens {
	b := &tokens{left: left}
	m.nodes[0].receiver.cfg.TakeToken, m.nodes[0].receiver.cfg.ReturnToken = b.take, b.giveBack
	firm := snapshotter.Firm{Name: "ozora", Keys: []snapshotter.Digest{snapshotter.DigestKey("k-1")}, Rate: 1, Burst: 1}
	for _, n := range m.nodes {
		n.change(func(s *blackboard.State) {
			running := &snapshotter.Snapshot{
				Version: s.Config.Running.Version, Services: s.Config.Running.Services, Routes: s.Config.Running.Routes,
				Firms: map[string]snapshotter.Firm{firm.Name: firm},
			}
			s.Config.Running = running
		})
	}
	return b
}

func ofFirm(id string) map[string]string {
	return map[string]string{exchanger.HeaderRequestID: id, "Authorization": "Bearer k-1"}
}

// TestFirmLimit guards against requests beyond a firm's limit that cost more than their
// answer, and against tokens that are taken for nothing or twice.
func TestFirmLimit(t *testing.T) {
	t.Run("a request beyond the limit reaches no target", func(t *testing.T) {
		runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
			m.limitFirm(1)
			assertDone(t, m.send(t.Context(), 0, "GET", "/read", nil, ofFirm("q-1")))
			r := m.send(t.Context(), 0, "GET", "/read", nil, ofFirm("q-2"))
			assertOutcome(t, r, retrier.OutcomeNotRun, http.StatusTooManyRequests)
			assert.Equal(t, r.reason(), exchanger.ReasonOverLimit)
			assert.Assert(t, r.header.Get("Retry-After") != "")
			assert.Equal(t, m.counts().ByRequest["q-2"], 0)
		})
	})
	t.Run("retries of a request take one token", func(t *testing.T) {
		runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
			b := m.limitFirm(5)
			m.removeTarget(0)
			m.nodes[1].target.SetFaults(targeter.Faults{Fault: targeter.FaultShed, Count: 1})
			m.send(t.Context(), 0, "GET", "/read", nil, ofFirm("q-1"))
			assert.Equal(t, b.taken, 1)
		})
	})
	t.Run("a request that no target has run gives its token back", func(t *testing.T) {
		runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
			b := m.limitFirm(5)
			m.removeTarget(0)
			m.removeTarget(1)
			r := m.send(t.Context(), 0, "GET", "/read", nil, ofFirm("q-1"))
			assert.Equal(t, r.outcome(), retrier.OutcomeNotRun)
			assert.DeepEqual(t, []int{b.taken, b.returned}, []int{1, 1})
		})
	})
}
