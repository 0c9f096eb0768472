package receiver

import (
	"time"

	"gentianbarrow.example/internal/smoother"
)

// statsWeight is the weight of one sample in the moving averages of routeStats.
const statsWeight = 0.05

// routeStats holds moving averages of each route's requests.
type routeStats struct {
	// requestBytes and answerBytes are body sizes of completed exchanges.
	requestBytes, answerBytes smoother.RouteMeans
	// latency is that of attempts with an answer, in nanoseconds.
	latency smoother.RouteMeans
}

func newRouteStats() *routeStats {
	byRoute := smoother.RouteMeans{Weight: statsWeight}
	return &routeStats{requestBytes: byRoute, answerBytes: byRoute, latency: byRoute}
}

// expectedBytes returns the likely size of the bodies of a request and its answer.
// requestLength is -1 when not known.
func (rc *Receiver) expectedBytes(route string, requestLength int64) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	request := float64(requestLength)
	if requestLength < 0 {
		request, _ = rc.stats.requestBytes.Mean(route)
	}
	answer, _ := rc.stats.answerBytes.Mean(route)
	return int(request + answer)
}

// expectedLatency returns how long an attempt usually takes; 0 when not known.
func (rc *Receiver) expectedLatency(route string) time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	latency, _ := rc.stats.latency.Mean(route)
	return time.Duration(latency)
}

// recordSizes records the body sizes of a completed exchange.
func (rc *Receiver) recordSizes(route string, request, answer int64) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.stats.requestBytes.Add(route, float64(request))
	rc.stats.answerBytes.Add(route, float64(answer))
}
