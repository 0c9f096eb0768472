package inspector

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/pkg/snapshotter"
)

func serve(t *testing.T, s *blackboard.State, path string) (int, string) {
	t.Helper()
	i := &Inspector{
		Read:    func() *blackboard.State { return s },
		Metrics: prometheus.NewRegistry(),
		Explain: func(id string) (any, bool) { return map[string]string{"id": id}, id == "known" },
	}
	w := httptest.NewRecorder()
	i.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

func TestHandler(t *testing.T) {
	starting := &blackboard.State{Lifecycle: blackboard.Lifecycle{Phase: blackboard.LifecycleStarting}}
	serving := &blackboard.State{
		Self:      blackboard.Self{Host: "reyk-a-1", DataCentre: "reyk-a", Region: "is-south", Rack: "r1"},
		Lifecycle: blackboard.Lifecycle{Phase: blackboard.LifecycleServing},
		Config: blackboard.Config{
			Running: &snapshotter.Snapshot{Version: 7, Firms: map[string]snapshotter.Firm{
				"rocklea": {Name: "rocklea", Keys: []snapshotter.Digest{snapshotter.DigestKey("k")}, Rate: 30, Burst: 40, Priority: 1, Ticket: 3},
			}}, Floor: 7,
			Refused: blackboard.RefusedVersion{Version: 9, Reason: "field kind", SinceAt: time.Unix(1_796_500_000, 0).UTC()},
		},
		Lease: blackboard.Lease{Slot: -1, Relays: []blackboard.Relay{{Host: "reyk-a-2"}}},
		Members: blackboard.Members{
			ByHost: map[string]blackboard.Member{"b": {Host: "b"}, "a": {Host: "a", Status: blackboard.MemberAlive}},
			Remote: map[string]blackboard.DataCentreSummary{
				"hafn-c": {DataCentre: "hafn-c", Services: []blackboard.ServiceSummary{{Service: "booking", Targets: 1}}},
			},
		},
	}
	t.Run("a starting node is healthy and not ready", func(t *testing.T) {
		code, _ := serve(t, starting, "/healthz")
		assert.Equal(t, code, http.StatusOK)
		code, _ = serve(t, starting, "/readyz")
		assert.Equal(t, code, http.StatusServiceUnavailable)
	})
	t.Run("a serving node is ready", func(t *testing.T) {
		code, _ := serve(t, serving, "/readyz")
		assert.Equal(t, code, http.StatusOK)
	})
	t.Run("the blackboard in a fixed order", func(t *testing.T) {
		_, body := serve(t, serving, "/debug/blackboard")
		golden.Assert(t, body, "blackboard.golden")
	})
	t.Run("a recorded and an unrecorded request", func(t *testing.T) {
		code, _ := serve(t, serving, "/debug/requests/known")
		assert.Equal(t, code, http.StatusOK)
		code, _ = serve(t, serving, "/debug/requests/other")
		assert.Equal(t, code, http.StatusNotFound)
	})
}
