package inspector

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gentianbarrow.example/internal/blackboard"
)

// Inspector serves the admin address.
type Inspector struct {
	// Read returns the blackboard's current state.
	Read func() *blackboard.State
	// Metrics are served on /metrics.
	Metrics prometheus.Gatherer
	// Explain returns how a recent request was routed; false when the node has no
	// record of it.
	Explain func(requestID string) (any, bool)
}

// Handler returns the handler of the admin address.
func (i *Inspector) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", i.serveHealth)
	mux.HandleFunc("GET /readyz", i.serveReady)
	mux.HandleFunc("GET /debug/blackboard", i.serveBlackboard)
	mux.HandleFunc("GET /debug/requests/{id}", i.serveRequest)
	return mux
}

// Status is the answer to health and readiness checks.
type Status struct {
	Lifecycle blackboard.LifecyclePhase `json:"life"`
	Version   uint64                    `json:"version"`
	Ready     bool                      `json:"ready"`
}

func (i *Inspector) status() Status {
	s := i.Read()
	status := Status{Lifecycle: s.Lifecycle.Phase}
	if s.Config.Running != nil {
		status.Version = s.Config.Running.Version
	}
	status.Ready = s.Lifecycle.Phase == blackboard.LifecycleServing && s.Config.Running != nil
	return status
}

// Ready reports whether the node accepts callers' requests.
func (i *Inspector) Ready() bool { return i.status().Ready }

// serveHealth answers 200 as long as the process runs, whether or not the node
// is ready.
func (i *Inspector) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, i.status())
}

// serveReady answers 200 while the node accepts callers' requests, and 503
// otherwise.
func (i *Inspector) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := i.status()
	code := http.StatusOK
	if !status.Ready {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, status)
}

func (i *Inspector) serveBlackboard(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, NewView(i.Read()))
}

func (i *Inspector) serveRequest(w http.ResponseWriter, r *http.Request) {
	explanation, found := i.Explain(r.PathValue("id"))
	if !found {
		http.Error(w, "this node has no record of a recent request with this id", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) //nolint:errcheck // the client has disconnected
}
