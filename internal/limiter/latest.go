package limiter

import (
	"slices"
	"time"
)

const (
	// latestCount is the number of service times of a route that together are more than chance.
	latestCount = 4
	// staleFactor times the longest of these is the smoothed service time above which that is
	// wrong: service times vary less from one request of a route to the next.
	staleFactor = 4
	// maxLatestRoutes bounds the routes of which the last service times are kept.
	maxLatestRoutes = 256
)

// latestTimes holds the last service times of each route.
//
// The load pattern: a target stands still, and what it answers when it wakes has taken long.
// The smoothed service time then takes dozens of answers to come back. Until then it refuses
// requests, so that there are few answers, and holds room free for a load that is not there.
type latestTimes struct {
	// byRoute holds the service times of each route, the latest first; 0 for none.
	byRoute map[string]*[latestCount]time.Duration
}

func (l *latestTimes) add(route string, serviceTime time.Duration) {
	times := l.byRoute[route]
	if times == nil {
		if len(l.byRoute) >= maxLatestRoutes {
			return
		}
		if l.byRoute == nil {
			l.byRoute = map[string]*[latestCount]time.Duration{}
		}
		times = &[latestCount]time.Duration{}
		l.byRoute[route] = times
	}
	copy(times[1:], times[:])
	times[0] = max(serviceTime, 1)
}

// longest returns the longest of the last service times of a route; false if there are too
// few of them.
func (l *latestTimes) longest(route string) (time.Duration, bool) {
	times := l.byRoute[route]
	if times == nil || times[latestCount-1] == 0 {
		return 0, false
	}
	return slices.Max(times[:]), true
}
