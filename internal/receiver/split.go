package receiver

import (
	"math/rand/v2"
	"slices"

	"gentianbarrow.example/pkg/snapshotter"
)

// split divides the requests of one route among services by smooth weighted
// round robin: each service gets its part in every short run of requests.
type split struct {
	shares []snapshotter.Share
	// credit of each share; the greatest is served next and pays the sum of all weights.
	credit []int
}

// newSplit starts anywhere in the round, so that nodes that start together do not serve one service first.
func newSplit(shares []snapshotter.Share, rnd *rand.Rand) *split {
	s := &split{shares: shares, credit: make([]int, len(shares))}
	for range rnd.IntN(len(shares) * startRounds) {
		s.next()
	}
	return s
}

// startRounds times the number of shares bounds how far into its round a split starts.
const startRounds = 8

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

// sizes are the smoothed bytes of a route's requests and answers.
type sizes struct{ request, answer float64 }

// sizeWeight is the weight of one sample.
const sizeWeight = 0.1

// expectedBytes returns how many bytes the request and its answer are likely to have.
func (rc *Receiver) expectedBytes(route string, requestLength int64) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	s := rc.sizes[route]
	switch {
	case s == nil:
		return int(max(requestLength, 0))
	case requestLength >= 0:
		return int(float64(requestLength) + s.answer)
	default:
		return int(s.request + s.answer)
	}
}

// sized records the bytes of a finished exchange.
func (rc *Receiver) sized(route string, request, answer int64) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	s := rc.sizes[route]
	if s == nil {
		s = &sizes{request: float64(request), answer: float64(answer)}
		rc.sizes[route] = s
		return
	}
	s.request += sizeWeight * (float64(request) - s.request)
	s.answer += sizeWeight * (float64(answer) - s.answer)
}
