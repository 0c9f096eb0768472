package experimenter

import (
	"slices"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

// Stats counts the requests of one phase, class and firm.
type Stats struct {
	Offered int
	// Good requests got their answer in time.
	Good int
	// Refused requests were told in time that they did not run.
	Refused int
	// Late requests had no answer when their time was over.
	Late int
	// latencies of good requests, and the timeout for each late one.
	latencies []time.Duration
	sorted    bool
}

// Percentile returns a latency; a late request counts with its timeout, and a
// refused one not at all.
func (s *Stats) Percentile(p float64) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	if !s.sorted {
		slices.Sort(s.latencies)
		s.sorted = true
	}
	return s.latencies[int(float64(len(s.latencies)-1)*p/100)]
}

// GoodPercent returns the share of requests that got their answer in time.
func (s *Stats) GoodPercent() float64 {
	return 100 * float64(s.Good) / float64(max(s.Offered, 1))
}

type statsKey struct {
	phase string
	class snapshotter.Class
	firm  string
}

// Report is what a run has shown.
type Report struct {
	stats map[statsKey]*Stats
	// Attempts counts requests that reached a target's node, Runs those that started at the target.
	Attempts, Runs int
	// Share of the runs by target.
	RunsByTarget []int
}

// Of returns the figures of one phase, class and firm.
func (r *Report) Of(phase string, c snapshotter.Class, firm string) *Stats {
	key := statsKey{phase, c, firm}
	if r.stats[key] == nil {
		r.stats[key] = &Stats{}
	}
	return r.stats[key]
}

// Phase returns the figures of a phase over all classes and firms.
func (r *Report) Phase(phase string) *Stats {
	sum := &Stats{}
	for key, s := range r.stats {
		if key.phase != phase {
			continue
		}
		sum.Offered += s.Offered
		sum.Good += s.Good
		sum.Refused += s.Refused
		sum.Late += s.Late
		sum.latencies = append(sum.latencies, s.latencies...)
	}
	return sum
}
