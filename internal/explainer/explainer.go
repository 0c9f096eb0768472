// Package explainer records how recent requests were routed, so that each refusal
// and each choice of a target can be looked up by request id.
package explainer

import (
	"sync"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/router"
)

// MaxRecords is how many requests a Ring holds.
const MaxRecords = 2048

// Record describes how one request was routed.
type Record struct {
	RequestID string `json:"request-id"`
	// Parent is the id of the request whose run made this call; empty if there is none or it
	// is not known.
	Parent  string    `json:"parent,omitempty"`
	Arrived time.Time `json:"arrived"`
	// ConfigVersion is the version of the configuration that the request was routed by.
	ConfigVersion uint64 `json:"config-version"`
	Route         string `json:"route,omitempty"`
	Service       string `json:"service,omitempty"`
	// Firm is the firm whose access key the request carried; empty when it carried none that is known.
	Firm     string           `json:"firm,omitempty"`
	Outcome  retrier.Outcome  `json:"outcome"`
	Reason   exchanger.Reason `json:"reason,omitempty"`
	Attempts []Attempt        `json:"attempts,omitempty"`
	GaveUp   retrier.Reason   `json:"gave-up,omitempty"`
	Deadline time.Time        `json:"deadline"`
}

// Attempt is one choice of a target and its outcome.
type Attempt struct {
	Host         string           `json:"host"`
	Address      string           `json:"address"`
	Chosen       time.Time        `json:"chosen"`
	ChoiceReason ChoiceReason     `json:"why"`
	Outcome      retrier.Outcome  `json:"outcome"`
	Reason       exchanger.Reason `json:"reason,omitempty"`
	// Candidates is how many candidates there were at the choice.
	Candidates int `json:"candidates,omitempty"`
	// Evaluations lists those that were compared, and some others, with what was known of them.
	Evaluations []router.Evaluation `json:"considered,omitempty"`
}

// ChoiceReason is why a target was chosen.
type ChoiceReason string

// The reasons to choose a target.
const (
	// ChoiceByCost means that the candidate had the lowest cost of those sampled.
	ChoiceByCost ChoiceReason = "cost"
	// ChoiceByKey means that the host is the home of the idempotency key.
	ChoiceByKey ChoiceReason = "idempotency-key"
	// ChoiceByHedge means that the attempt is a hedge, since an earlier one was slow.
	ChoiceByHedge ChoiceReason = "hedge"
)

// Ring holds the latest records. It is safe for concurrent use.
type Ring struct {
	mu sync.Mutex
	// records is a circular buffer of up to MaxRecords. Guarded by mu.
	records []Record
	// next is the index of the oldest record once the buffer is full. Guarded by mu.
	next int
	// byID holds the index of the latest record of each request id. Guarded by mu.
	byID map[string]int
}

// New returns an empty ring.
func New() *Ring {
	return &Ring{byID: make(map[string]int)}
}

// Add stores a record and drops the oldest when the ring is full.
func (r *Ring) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) < MaxRecords {
		r.byID[rec.RequestID] = len(r.records)
		r.records = append(r.records, rec)
		return
	}
	oldestID := r.records[r.next].RequestID
	if r.byID[oldestID] == r.next {
		delete(r.byID, oldestID)
	}
	r.records[r.next] = rec
	r.byID[rec.RequestID] = r.next
	r.next = (r.next + 1) % MaxRecords
}

// Find returns the latest record of a request id.
func (r *Ring) Find(requestID string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.byID[requestID]
	if !ok {
		return Record{}, false
	}
	return r.records[i], true
}
