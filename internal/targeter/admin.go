package targeter

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// maxFaultsBytes bounds the body of a change of faults.
const maxFaultsBytes = 4 << 10

// Load is the answer of /load.
type Load struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in-flight"`
}

func (t *Targeter) health(w http.ResponseWriter, _ *http.Request) {
	phase := t.Phase(time.Now())
	t.mu.Lock()
	if t.faults.Health != "" {
		phase = t.faults.Health
	}
	t.mu.Unlock()
	if phase == "draining" || phase == "failed" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, phase+"\n")
}

func (t *Targeter) load(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	at := time.Now().Add(-time.Duration(t.faults.LoadDelayMs) * time.Millisecond)
	running := 0
	for _, l := range t.loads {
		if !l.at.After(at) {
			running = l.running
		}
	}
	t.mu.Unlock()
	writeJSON(w, Load{Slots: t.cfg.Slots, InFlight: running})
}

func (t *Targeter) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxFaultsBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

func (t *Targeter) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Counts()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
