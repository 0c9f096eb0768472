// Package explainer remembers how recent requests were routed, so that each
// refusal and each choice of a target can be explained from a request id.
package explainer

import (
	"sync"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/router"
)

// MaxRecords is how many requests are remembered.
const MaxRecords = 2048

// Record tells how one request was routed.
type Record struct {
	RequestID string    `json:"request-id"`
	Arrived   time.Time `json:"arrived"`
	// ConfigVersion is that of the snapshot by which the request was routed.
	ConfigVersion uint64           `json:"config-version"`
	Route         string           `json:"route,omitempty"`
	Service       string           `json:"service,omitempty"`
	Outcome       retrier.Outcome  `json:"outcome"`
	Reason        exchanger.Reason `json:"reason,omitempty"`
	Attempts      []Attempt        `json:"attempts,omitempty"`
	GaveUp        retrier.Reason   `json:"gave-up,omitempty"`
	Deadline      time.Time        `json:"deadline"`
}

// Attempt is one choice of a target and what came of it.
type Attempt struct {
	Host    string           `json:"host"`
	Address string           `json:"address"`
	Chosen  time.Time        `json:"chosen"`
	Why     Why              `json:"why"`
	Outcome retrier.Outcome  `json:"outcome"`
	Reason  exchanger.Reason `json:"reason,omitempty"`
	// Considered lists the candidates as the choice saw them.
	Considered []router.Evaluation `json:"considered,omitempty"`
}

// Why tells what made the choice.
type Why string

// The ways to choose a target.
const (
	// WhyCost means that the router found the candidate cheapest.
	WhyCost Why = "cost"
	// WhyKey means that the idempotency key belongs to the host.
	WhyKey Why = "idempotency-key"
	// WhyHedge means that an earlier attempt was slow.
	WhyHedge Why = "hedge"
)

// Ring holds the latest records. It is safe for concurrent use.
type Ring struct {
	mu sync.Mutex
	// records is filled round and round. Guarded by mu.
	records []Record
	// next is where the next record goes. Guarded by mu.
	next int
	// byID holds the index of the latest record of an id. Guarded by mu.
	byID map[string]int
}

// New returns an empty ring.
func New() *Ring {
	return &Ring{byID: make(map[string]int)}
}

// Add remembers a request and forgets the oldest when the ring is full.
func (r *Ring) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) < MaxRecords {
		r.byID[rec.RequestID] = len(r.records)
		r.records = append(r.records, rec)
		return
	}
	old := r.records[r.next].RequestID
	if r.byID[old] == r.next {
		delete(r.byID, old)
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
