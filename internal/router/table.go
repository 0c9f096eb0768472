package router

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table is what a node has seen of targets. It is not safe for concurrent use.
type Table struct {
	inFlight map[string]int
}

// New returns an empty table.
func New() *Table { return &Table{inFlight: map[string]int{}} }

// Choose picks a target among candidates, which must be ordered by Distance.
func (t *Table) Choose(_ time.Time, r Request, candidates []Candidate, rnd *rand.Rand) (Choice, Explanation) {
	if len(candidates) == 0 {
		return Choice{}, Explanation{}
	}
	start := rnd.IntN(len(candidates))
	for n := range candidates {
		i := (start + n) % len(candidates)
		c := &candidates[i]
		if c.Draining || slices.Contains(r.Tried, c.Host) {
			continue
		}
		return Choice{OK: true, Host: c.Host, Address: c.Address, Index: i}, Explanation{}
	}
	return Choice{}, Explanation{}
}

// Started counts a request that is being sent to a target.
func (t *Table) Started(_, host string) { t.inFlight[host]++ }

// Finished records what became of a request that Started counted.
func (t *Table) Finished(_ time.Time, _, host string, _ Result) { t.inFlight[host]-- }

// Forget drops what is known of targets that no answer came from since before.
func (t *Table) Forget(_ time.Time) {}
