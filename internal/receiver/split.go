package receiver

import (
	"math/rand/v2"
	"slices"

	"gentianbarrow.example/pkg/snapshotter"
)

// split distributes the requests of one route among services by smooth weighted
// round robin: each service gets its share of any short sequence of requests.
type split struct {
	shares []snapshotter.Share
	// credit holds the current weight of each share. The share with the greatest is
	// chosen next, and the sum of all weights is deducted from it.
	credit []int
}

// newSplit returns a split that starts at a random point of the cycle, so that nodes
// that start together do not all begin with the same service.
func newSplit(shares []snapshotter.Share, rnd *rand.Rand) *split {
	s := &split{shares: shares, credit: make([]int, len(shares))}
	for range rnd.IntN(len(shares) * startRounds) {
		s.next()
	}
	return s
}

// startRounds times the number of shares bounds how many requests into its cycle a split starts.
const startRounds = 8

// next returns the service of the next request.
func (s *split) next() string {
	total, best := 0, 0
	for i, share := range s.shares {
		s.credit[i] += share.Weight
		total += share.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.shares[best].Service
}

// serviceOf returns the service that the next request of the route goes to.
func (rc *Receiver) serviceOf(route *snapshotter.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	s := rc.splits[route.Name]
	if s == nil || !slices.Equal(s.shares, route.Split) {
		s = newSplit(route.Split, rc.rnd)
		rc.splits[route.Name] = s
	}
	return s.next()
}
