package limiter

import "time"

const (
	// callWaitWeight is the weight of one call in the smoothed wait of calls.
	callWaitWeight = 0.1
	// goldenRatio spreads the fractions of consecutive starts evenly; see calledRoom.
	goldenRatio = 0.6180339887498949
)

// calledRoom bounds the runs under way that call a service.
type calledRoom struct {
	// limits by service; a service without one is not limited. A limit between two whole
	// numbers admits as many runs as either by turns.
	limits map[string]float64
	// running counts the runs under way by the services that they call.
	running map[string]int
	// fraction takes its turns within 0 to 1 with each run that starts.
	fraction float64
}

func newCalledRoom() calledRoom { return calledRoom{running: map[string]int{}} }

// admits reports whether a run may start that calls the services.
func (r *calledRoom) admits(services []string) bool {
	for _, name := range services {
		if limit, ok := r.limits[name]; ok && float64(r.running[name]+1) > limit+r.fraction {
			return false
		}
	}
	return true
}

// slots returns how many runs may be under way that call the services; slots without a limit.
func (r *calledRoom) slots(services []string, slots int) int {
	for _, name := range services {
		if limit, ok := r.limits[name]; ok {
			slots = min(slots, max(int(limit), 1))
		}
	}
	return slots
}

func (r *calledRoom) add(services []string) {
	for _, name := range services {
		r.running[name]++
	}
	if len(services) > 0 {
		if r.fraction += goldenRatio; r.fraction >= 1 {
			r.fraction--
		}
	}
}

func (r *calledRoom) remove(services []string) {
	for _, name := range services {
		if r.running[name]--; r.running[name] == 0 {
			delete(r.running, name)
		}
	}
}

// hasCalledRoom reports whether a waiting request may start as far as the calls of its
// run are concerned. A call may always: it is part of a run that has started.
func (g *Gate) hasCalledRoom(w *waitingRequest) bool {
	return w.isCall() || g.calledRoom.admits(w.calls)
}

// recordCallWait records the wait of a request that starts.
func (g *Gate) recordCallWait(isCall bool, wait time.Duration) {
	if isCall {
		g.callWait += time.Duration(callWaitWeight * float64(wait-g.callWait))
	}
}

// SetCallLimits sets the limits of the runs that call other services, by service, and
// starts the waiting requests that they let start.
func (g *Gate) SetCallLimits(now time.Time, limits map[string]float64) Changes {
	g.resetChanges()
	g.advance(now)
	g.calledRoom.limits = limits
	g.processQueue(now)
	return g.changes
}
