package receiver

import "time"

// routeStats are smoothed figures of a route's requests.
type routeStats struct {
	// requestBytes and answerBytes of whole exchanges.
	requestBytes, answerBytes float64
	// latency of attempts with an answer, in nanoseconds; 0 before the first.
	latency float64
}

// statsWeight is the weight of one sample.
const statsWeight = 0.05

func smooth(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += statsWeight * (sample - *mean)
}

// stat returns the figures of a route. The caller holds mu.
func (rc *Receiver) stat(route string) *routeStats {
	s := rc.stats[route]
	if s == nil {
		s = &routeStats{}
		rc.stats[route] = s
	}
	return s
}

// expectedBytes returns how many bytes the request and its answer are likely to have.
func (rc *Receiver) expectedBytes(route string, requestLength int64) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	s := rc.stat(route)
	if requestLength >= 0 {
		return int(float64(requestLength) + s.answerBytes)
	}
	return int(s.requestBytes + s.answerBytes)
}

// expectedLatency returns how long an attempt usually takes; 0 when that is not known.
func (rc *Receiver) expectedLatency(route string) time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return time.Duration(rc.stat(route).latency)
}

// sized records the bytes of a finished exchange.
func (rc *Receiver) sized(route string, request, answer int64) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	s := rc.stat(route)
	smooth(&s.requestBytes, float64(request))
	smooth(&s.answerBytes, float64(answer))
}
