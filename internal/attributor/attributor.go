// Package attributor tells the calls that the target of this host makes from the
// requests of callers, and learns which runs make them. No header says so, both come to
// the same address, and a caller on this host has the same address as the target.
//
// Most targets continue the id of the request that they run in the ids of its calls, which
// names the run. While no id has shown that, the evidence is statistical: a call arrives
// only while the target has a run, and on connections that callers never use.
//
// Load pattern: runs of one service call another, whose room is the scarcer one. Who
// refuses a call wastes the run that waits for it, so calls have to be known as such.
//
// An Attributor has no I/O and no clock. It is not safe for concurrent use.
//
//	a := attributor.New(now)
//	a.RecordRunStart(now, id, route) // and RecordRunEnd
//	origin, parent := a.Arrive(now, attributor.Arrival{ID: id, Connection: connection, Route: route, Service: service})
//	if origin == attributor.OriginTarget {
//		// a call of a run that is under way here
//	}
package attributor

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Origin is who sent a request.
type Origin string

// The origins of requests.
const (
	OriginCaller Origin = "caller"
	OriginTarget Origin = "target"
)

const (
	// idleGuard is how long the target must have had no run for a request to prove that
	// callers send its route. The end of a run is noticed here before its last call is read.
	idleGuard = 250 * time.Millisecond
	// startGuard is how long after the start of the process runs may be under way that an
	// earlier process has started.
	startGuard = 5 * time.Second
	// calledEvidence is the evidence, as the negative logarithm of the probability that
	// callers would have sent a route's requests as they came, from which on the route
	// counts as called by the target: 6 in a million.
	calledEvidence = 12.0
	// maxEvidence bounds what evidence a route keeps, so that it stays refutable.
	maxEvidence = 2 * calledEvidence
	// maxRate bounds the rates that evidence is derived from.
	maxRate = 0.9
	// rateWeight is the weight of one request in the rates of callers' requests.
	rateWeight = 0.05
	// maxCredited bounds the requests of a connection that count as evidence. They are not
	// independent: a caller may send one route only.
	maxCredited = 16
	// maxRoutes bounds the routes that are tracked.
	maxRoutes = 256
)

// Attributor holds what the requests at this node have shown of their origins.
type Attributor struct {
	startedAt time.Time
	// running counts the runs of the target; lastEnd is when the latest ended.
	running int
	lastEnd time.Time
	// routes holds at most maxRoutes.
	routes      map[string]*routeState
	connections connections
	// mixRate is the smoothed share of callers' requests whose connection had carried
	// another route of callers before, among those on connections that are used again.
	mixRate float64
	// idleRate is the smoothed share of callers' requests that came while the target was idle.
	idleRate float64
	lineage  lineage
	calls    callCounts
}

// routeState is what is known of one route.
type routeState struct {
	// evidence that the target calls the route, from 0 to maxEvidence; see calledEvidence.
	evidence float64
	// proven is set from a request that only a caller can have sent until evidence
	// reaches calledEvidence.
	proven bool
	// ownProof is set with proven if a request at this node was the proof.
	ownProof bool
}

func (r *routeState) isCalled() bool { return r != nil && r.evidence >= calledEvidence }

func (r *routeState) prove(own bool) {
	r.evidence, r.proven, r.ownProof = 0, true, r.ownProof || own
}

func (r *routeState) add(evidence float64) {
	r.evidence = min(r.evidence+evidence, maxEvidence)
	if r.isCalled() {
		r.proven, r.ownProof = false, false
	}
}

// New returns an Attributor of a process that has started at the given time.
func New(startedAt time.Time) *Attributor {
	return &Attributor{startedAt: startedAt, lastEnd: startedAt, routes: map[string]*routeState{}, calls: newCallCounts(), lineage: lineage{routes: map[string]string{}}}
}

// RecordRunStart records that a request of the route was handed to the target.
func (a *Attributor) RecordRunStart(now time.Time, id, route string) {
	a.running++
	a.lineage.recordStart(id, route)
	a.calls.recordStart(now, route)
}

// RecordRunEnd records the end of a run that RecordRunStart counted.
func (a *Attributor) RecordRunEnd(now time.Time, id, route string) {
	a.lineage.recordEnd(id)
	a.running = max(a.running-1, 0)
	a.lastEnd = now
	a.calls.recordEnd(now, route)
}

// isIdle reports whether the target surely has no run whose calls could arrive now.
func (a *Attributor) isIdle(now time.Time) bool {
	return a.running == 0 && now.Sub(a.lastEnd) >= idleGuard && now.Sub(a.startedAt) >= startGuard
}

// Arrival is a request at this node.
type Arrival struct {
	ID string
	// Connection numbers the connection that it came on, which is the target's or a caller's.
	Connection uint64
	// Route and Service are what the request is for.
	Route, Service string
}

// Arrive records a request and returns its origin. Of a call it also returns the id of
// the request that its run serves, if that is known.
func (a *Attributor) Arrive(now time.Time, r Arrival) (origin Origin, parentID string) {
	parentID, parent, isCall := a.lineage.parent(r.ID)
	if !isCall && !a.lineage.seen {
		isCall = a.infer(now, r.Connection, r.Route) == OriginTarget
	}
	if !isCall {
		return OriginCaller, ""
	}
	a.calls.recordCall(now, r.Service, parent)
	return OriginTarget, parentID
}

// infer returns the origin of a request by what is known of its route and connection.
func (a *Attributor) infer(now time.Time, connection uint64, route string) Origin {
	r := a.route(route)
	if r == nil {
		return OriginCaller
	}
	c := a.connections.find(connection)
	idle := a.isIdle(now)
	mixed := a.carriesProven(c, route)
	if idle || mixed {
		r.prove(true)
	}
	reused := c.requests > 0
	c.add(route)
	if r.proven {
		a.recordCaller(c, idle, mixed, reused)
		if idle || mixed {
			return OriginCaller
		}
	}
	if c.requests <= maxCredited {
		a.credit(r, reused)
	}
	if r.isCalled() {
		return OriginTarget
	}
	return OriginCaller
}

// recordCaller records a request that callers send, and that the other routes on its
// connection are sent by callers too.
func (a *Attributor) recordCaller(c *connection, idle, mixed, reused bool) {
	a.idleRate += rateWeight * (one(idle) - a.idleRate)
	if reused {
		a.mixRate += rateWeight * (one(mixed) - a.mixRate)
	}
	for _, name := range c.routes {
		if r := a.routes[name]; r != nil && !r.proven {
			r.prove(true)
		}
	}
}

// credit adds the evidence of a request that came while the target had a run, on a
// connection without a route that callers are known to send.
func (a *Attributor) credit(r *routeState, reused bool) {
	evidence := -math.Log1p(-min(a.idleRate, maxRate))
	if reused {
		evidence -= math.Log1p(-min(a.mixRate, maxRate))
	}
	r.add(evidence)
}

// carriesProven reports whether a connection has carried another route that callers
// are known to send.
func (a *Attributor) carriesProven(c *connection, route string) bool {
	for _, name := range c.routes {
		if r := a.routes[name]; name != route && r != nil && r.proven {
			return true
		}
	}
	return false
}

// route returns the state of a route; nil when too many are tracked. Routes that are not
// called give way to new ones, as requests of callers soon show them again.
func (a *Attributor) route(name string) *routeState {
	r := a.routes[name]
	if r == nil && len(a.routes) >= maxRoutes {
		maps.DeleteFunc(a.routes, func(_ string, r *routeState) bool { return !r.isCalled() })
	}
	if r == nil && len(a.routes) < maxRoutes {
		r = &routeState{}
		a.routes[name] = r
	}
	return r
}

// IsCalled reports whether the target calls the route.
func (a *Attributor) IsCalled(route string) bool { return a.routes[route].isCalled() }

// Estimates returns what this node has learned of the calls of its target's runs.
func (a *Attributor) Estimates(now time.Time) []Estimate {
	a.calls.advance(now)
	list := a.calls.estimates(a.lineage.seen)
	sortEstimates(list)
	return list
}

// RecordOthers replaces what another node, whose target is of the same service, has
// learned of its target's runs.
func (a *Attributor) RecordOthers(now time.Time, host string, list []Estimate) {
	a.calls.recordOthers(now, host, list)
}

// CalledServices returns, by route, the services that the runs of the route call, by the
// estimates of all nodes. Routes whose runs make no calls are left out.
func (a *Attributor) CalledServices(now time.Time) map[string][]string {
	a.calls.advance(now)
	called := map[string][]string{}
	for _, e := range a.calls.pooled(now, a.lineage.seen) {
		if e.CallsPerRun >= minCallsPerRun {
			called[e.Route] = append(called[e.Route], e.Service)
		}
	}
	return called
}

// Proven returns the routes that callers send by the requests at this node; none once ids
// tell calls.
func (a *Attributor) Proven() []string {
	if a.lineage.seen {
		return nil
	}
	var out []string
	for name, r := range a.routes {
		if r.proven && r.ownProof {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// RecordProven records routes that callers send by the requests at another node.
func (a *Attributor) RecordProven(routes []string) {
	for _, name := range routes {
		if r := a.route(name); r != nil {
			r.prove(false)
		}
	}
}

func one(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
