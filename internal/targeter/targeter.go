// Package targeter is a stand-in for a target: an HTTP service that follows
// the contract of package dispatcher, announces itself to the node on its host,
// and misbehaves on demand. It counts executions for each request id and each
// idempotency key, and so judges at-most-once and every "not-run".
package targeter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gentianbarrow.example/internal/exchanger"
)

// Fault is a way to misbehave.
type Fault string

// The faults of a target.
const (
	FaultNone Fault = ""
	// FaultCutBefore closes the connection before the request is executed.
	FaultCutBefore Fault = "cut-before"
	// FaultCutDuring closes the connection after the execution has begun.
	FaultCutDuring Fault = "cut-during"
	// FaultCutAfter closes the connection inside the answer.
	FaultCutAfter Fault = "cut-after"
	// FaultFrozen takes the request and does nothing until it is cancelled.
	FaultFrozen Fault = "frozen"
	// FaultLoseAnswer executes the request and never answers.
	FaultLoseAnswer Fault = "lose-answer"
	// FaultCrossed answers with the id of another request.
	FaultCrossed Fault = "crossed"
	// FaultShed turns the request away without executing it.
	FaultShed Fault = "shed"
	// FaultShedBelow sheds the request since a call of the target's own failed.
	FaultShedBelow Fault = "shed-below"
	// FaultSlow takes SlowMs longer.
	FaultSlow Fault = "slow"
)

// Faults is what the target does wrong.
type Faults struct {
	// Fault applies to the next Count requests; 0 means to all.
	Fault Fault `json:"fault"`
	Count int   `json:"count"`
	// SlowMs is the extra time of FaultSlow, in milliseconds.
	SlowMs int `json:"slow-ms"`
	// Health, when set, is what /healthz claims in place of the truth.
	Health string `json:"health"`
	// LoadDelayMs is how old the figures of /load are, in milliseconds.
	LoadDelayMs int `json:"load-delay-ms"`
}

// Counts is what the target has executed.
type Counts struct {
	// ByRequest counts executions by request id.
	ByRequest map[string]int `json:"by-request"`
	// ByKey counts executions by idempotency key.
	ByKey map[string]int `json:"by-key"`
	// Completed counts executions by request id that took in the whole body.
	Completed map[string]int `json:"completed"`
}

// Answer is the body of a reply to a request with a body.
type Answer struct {
	RequestID string `json:"request-id"`
	Bytes     int64  `json:"bytes"`
	SHA256    string `json:"sha256"`
}

// Config describes a target.
type Config struct {
	Service string
	// Slots is how many requests the target runs at once.
	Slots int
	// Connections is how many connections the target accepts.
	Connections int
	// WarmAt is when the cold start ends; zero means warm.
	WarmAt time.Time
	// ServiceTime is how long each request takes.
	ServiceTime time.Duration
	// Choose picks the fault of a request in place of the switches; nil means none.
	Choose func(requestID string) Fault
}

// Targeter is a target.
type Targeter struct {
	cfg Config

	mu sync.Mutex
	// The fields below are guarded by mu.
	running  int
	draining bool
	faults   Faults
	counts   Counts
	// loads holds past loads for a /load that lags, oldest first.
	loads []pastLoad
}

type pastLoad struct {
	at      time.Time
	running int
}

// maxLoads bounds the past loads.
const maxLoads = 4096

// New returns a target.
func New(cfg Config) *Targeter {
	return &Targeter{cfg: cfg, counts: Counts{
		ByRequest: map[string]int{}, ByKey: map[string]int{}, Completed: map[string]int{},
	}}
}

// Handler returns the HTTP interface: requests on all paths but /healthz, /load and /admin/.
func (t *Targeter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", t.serve)
	mux.HandleFunc("GET /healthz", t.health)
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("PUT /admin/faults", t.putFaults)
	mux.HandleFunc("GET /admin/counts", t.getCounts)
	mux.HandleFunc("POST /admin/drain", func(http.ResponseWriter, *http.Request) { t.Drain(true) })
	mux.HandleFunc("POST /admin/resume", func(http.ResponseWriter, *http.Request) { t.Drain(false) })
	return mux
}

// Drain turns new requests away, or takes them again.
func (t *Targeter) Drain(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = on
}

// SetFaults replaces the faults.
func (t *Targeter) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// SetChoose replaces the function that picks faults.
func (t *Targeter) SetChoose(f func(requestID string) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Choose = f
}

// Counts returns a copy of what was executed.
func (t *Targeter) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{
		ByRequest: copyCounts(t.counts.ByRequest), ByKey: copyCounts(t.counts.ByKey),
		Completed: copyCounts(t.counts.Completed),
	}
}

func copyCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Phase returns the phase to announce.
func (t *Targeter) Phase(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.draining:
		return "draining"
	case now.Before(t.cfg.WarmAt):
		return "cold"
	default:
		return "ready"
	}
}

// begin takes a slot and returns the fault of the request, or false when the target sheds it.
func (t *Targeter) begin(requestID string) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := t.nextFault(requestID)
	if t.draining || t.running >= t.cfg.Slots || fault == FaultShed || fault == FaultShedBelow {
		return fault, false
	}
	t.setRunning(t.running + 1)
	return fault, true
}

// nextFault uses up one count. The caller holds mu.
func (t *Targeter) nextFault(requestID string) Fault {
	if t.cfg.Choose != nil {
		return t.cfg.Choose(requestID)
	}
	fault := t.faults.Fault
	if t.faults.Count > 0 {
		t.faults.Count--
		if t.faults.Count == 0 {
			t.faults.Fault = FaultNone
		}
	}
	return fault
}

// setRunning changes the count of running requests. The caller holds mu.
func (t *Targeter) setRunning(n int) {
	t.running = n
	t.loads = append(t.loads, pastLoad{at: time.Now(), running: n})
	if len(t.loads) > maxLoads {
		t.loads = t.loads[len(t.loads)-maxLoads/2:]
	}
}

func (t *Targeter) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setRunning(t.running - 1)
}

func (t *Targeter) executed(requestID, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.ByRequest[requestID]++
	if key != "" {
		t.counts.ByKey[key]++
	}
}

func (t *Targeter) completed(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Completed[requestID]++
}

// serve executes one request.
func (t *Targeter) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(exchanger.HeaderRequestID)
	w.Header().Set(exchanger.HeaderRequestID, id)
	fault, ok := t.begin(id)
	if !ok {
		w.Header().Set(exchanger.HeaderShed, exchanger.ShedNotRun)
		if fault == FaultShedBelow {
			w.Header().Set(exchanger.HeaderRetried, "true")
		}
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.end()
	ctx, cancel := deadline(r)
	defer cancel()
	switch fault {
	case FaultCutBefore:
		panic(http.ErrAbortHandler)
	case FaultFrozen:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	t.executed(id, r.Header.Get(exchanger.HeaderIdempotencyKey))
	t.answer(ctx, w, r, fault)
}

// deadline ends the request when its caller goes away or its time is up.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(r.Header.Get(exchanger.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

// answer reads the body and replies.
func (t *Targeter) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, fault Fault) {
	id := r.Header.Get(exchanger.HeaderRequestID)
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil || fault == FaultCutDuring {
		panic(http.ErrAbortHandler)
	}
	t.completed(id)
	pause(ctx, t.serviceTime(fault))
	switch fault {
	case FaultLoseAnswer:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case FaultCrossed:
		w.Header().Set(exchanger.HeaderRequestID, id+"-other")
	}
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(Answer{RequestID: id, Bytes: n, SHA256: hex.EncodeToString(sum.Sum(nil))})
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		body = Pattern(id, size)
	}
	if !r.URL.Query().Has("chunked") {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if fault == FaultCutAfter {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (t *Targeter) serviceTime(fault Fault) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fault == FaultSlow {
		return t.cfg.ServiceTime + time.Duration(t.faults.SlowMs)*time.Millisecond
	}
	return t.cfg.ServiceTime
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Pattern returns a body that depends on the request id, so that crossed answers show.
func Pattern(requestID string, size int) []byte {
	out := make([]byte, 0, size+len(requestID)+1)
	for len(out) < size {
		out = append(out, requestID...)
		out = append(out, ' ')
	}
	return out[:size]
}
