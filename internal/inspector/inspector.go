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
	// Explain returns how a recent request was routed; false when the node no longer knows.
	Explain func(requestID string) (any, bool)
}

// Handler returns the handler of the admin address.
func (i *Inspector) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", i.health)
	mux.HandleFunc("GET /readyz", i.ready)
	mux.HandleFunc("GET /debug/blackboard", i.blackboard)
	mux.HandleFunc("GET /debug/requests/{id}", i.request)
	return mux
}

// Status is the answer of the health and ready checks.
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

// Ready tells that the node takes callers' requests.
func (i *Inspector) Ready() bool { return i.status().Ready }

// health answers 200 while the process works, whether or not it may serve.
func (i *Inspector) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, i.status())
}

// ready answers 200 only while the node takes callers' requests.
func (i *Inspector) ready(w http.ResponseWriter, _ *http.Request) {
	status := i.status()
	code := http.StatusOK
	if !status.Ready {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, status)
}

func (i *Inspector) blackboard(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, NewView(i.Read()))
}

func (i *Inspector) request(w http.ResponseWriter, r *http.Request) {
	explanation, known := i.Explain(r.PathValue("id"))
	if !known {
		http.Error(w, "this node knows no recent request with this id", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) //nolint:errcheck // the caller has gone
}
