package attributor

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// countInterval is the length of the intervals in which calls are compared with the
	// runs under way. It is about as long as a run, so that intervals differ.
	countInterval = 250 * time.Millisecond
	// countHalfLife is the time after which an interval counts half as much. A new version
	// of the target may call otherwise.
	countHalfLife = 5 * time.Second
	// maxRunRoutes bounds the routes whose runs are told apart; those that run least give way
	// to others. maxCalledServices bounds the services that are tracked.
	maxRunRoutes      = 8
	maxCalledServices = 8
	// ridge is added to the squared run time of each route, in square seconds, so that
	// routes that were hardly seen count as making no calls.
	ridge = 0.05
	// minCallsPerRun is the number of calls by run from which on a route's runs count as
	// calling a service.
	minCallsPerRun = 0.2
	// otherExpiry is how long an estimate of another node is used.
	otherExpiry = time.Minute
)

// Estimate is how often a run of a route calls a service.
type Estimate struct {
	Route, Service string
	// CallsPerRun is the mean number of calls; an estimate may be below 0.
	CallsPerRun float64
	// Weight is the inverse of the variance of CallsPerRun, in arbitrary units.
	Weight float64
}

// maxWeight and maxCallsPerRun bound what is taken over from another node.
const (
	maxWeight      = 1e6
	maxCallsPerRun = 1e3
)

func (e *Estimate) isValid() bool {
	return e.Weight > 0 && e.Weight <= maxWeight && math.Abs(e.CallsPerRun) <= maxCallsPerRun
}

// estimateKey identifies an Estimate.
type estimateKey struct{ route, service string }

// otherEstimate is an estimate of another node.
type otherEstimate struct {
	Estimate
	expiresAt time.Time
}

// callCounts learns how many calls a run of each route makes to each service. Which run
// makes a call is not known, so it compares, by least squares over intervals, the calls
// with the time for which runs of each route were under way.
type callCounts struct {
	// routes are the routes with an index, at most maxRunRoutes, and running counts their
	// runs under way.
	routes  []string
	running [maxRunRoutes]int
	// runTime holds the run time of each route in the present interval, in seconds, up to updatedAt.
	runTime    [maxRunRoutes]float64
	updatedAt  time.Time
	intervalAt time.Time
	// calls counts those of the present interval by service.
	calls map[string]float64
	// products holds the decayed sums of the products of run times, callProducts those of
	// run times and calls by service.
	products     [maxRunRoutes][maxRunRoutes]float64
	callProducts map[string]*[maxRunRoutes]float64
	// attributed holds the decayed number of the calls of each route's runs by service, if
	// calls name their runs.
	attributed map[string]*[maxRunRoutes]float64
	// totalTime and ended hold the decayed run time and number of runs of each route.
	totalTime, ended [maxRunRoutes]float64
	// others holds estimates of other nodes, by their host.
	others map[string]map[estimateKey]otherEstimate
}

func newCallCounts() callCounts {
	return callCounts{calls: map[string]float64{}, callProducts: map[string]*[maxRunRoutes]float64{}, attributed: map[string]*[maxRunRoutes]float64{}, others: map[string]map[estimateKey]otherEstimate{}}
}

// index returns the index of a route; false when there are too many.
func (c *callCounts) index(route string) (int, bool) {
	if i := slices.Index(c.routes, route); i >= 0 {
		return i, true
	}
	if len(c.routes) == maxRunRoutes && !c.removeLeastUsed() {
		return 0, false
	}
	c.routes = append(c.routes, route)
	return len(c.routes) - 1, true
}

func (c *callCounts) recordStart(now time.Time, route string) {
	c.advance(now)
	if i, ok := c.index(route); ok {
		c.running[i]++
	}
}

func (c *callCounts) recordEnd(now time.Time, route string) {
	c.advance(now)
	if i := slices.Index(c.routes, route); i >= 0 && c.running[i] > 0 {
		c.running[i]--
		c.ended[i]++
	}
}

// recordCall records a call of a run of the parent route, which is empty if unknown.
func (c *callCounts) recordCall(now time.Time, service, parent string) {
	c.advance(now)
	if _, known := c.callProducts[service]; !known {
		if len(c.callProducts) == maxCalledServices {
			return
		}
		c.callProducts[service], c.attributed[service] = &[maxRunRoutes]float64{}, &[maxRunRoutes]float64{}
	}
	c.calls[service]++
	if i := slices.Index(c.routes, parent); i >= 0 {
		c.attributed[service][i]++
	}
}

// advance adds the run time up to now and closes the intervals that have ended.
func (c *callCounts) advance(now time.Time) {
	if c.updatedAt.IsZero() || now.Sub(c.updatedAt) > countHalfLife {
		// Nothing was under way for long, or the process was suspended.
		c.updatedAt, c.intervalAt = now, now.Add(countInterval)
		c.runTime = [maxRunRoutes]float64{}
		clear(c.calls)
		return
	}
	for !now.Before(c.intervalAt) {
		c.addRunTime(c.intervalAt)
		c.closeInterval()
		c.intervalAt = c.intervalAt.Add(countInterval)
	}
	c.addRunTime(now)
}

func (c *callCounts) addRunTime(until time.Time) {
	elapsed := until.Sub(c.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	for i := range c.routes {
		c.runTime[i] += float64(c.running[i]) * elapsed
	}
	c.updatedAt = until
}

func (c *callCounts) closeInterval() {
	decay := math.Exp2(-countInterval.Seconds() / countHalfLife.Seconds())
	for i := range c.routes {
		for j := range c.routes {
			c.products[i][j] = c.products[i][j]*decay + c.runTime[i]*c.runTime[j]
		}
		c.totalTime[i] = c.totalTime[i]*decay + c.runTime[i]
		c.ended[i] *= decay
		for service, sums := range c.callProducts {
			sums[i] = sums[i]*decay + c.runTime[i]*c.calls[service]
			c.attributed[service][i] *= decay
		}
	}
	c.runTime = [maxRunRoutes]float64{}
	clear(c.calls)
}

// removeLeastUsed makes room for another route and reports whether it could: routes with
// a run under way are not removed.
func (c *callCounts) removeLeastUsed() bool {
	least := -1
	for i := range c.routes {
		if c.running[i] == 0 && (least < 0 || c.totalTime[i] < c.totalTime[least]) {
			least = i
		}
	}
	if least >= 0 {
		c.remove(least)
	}
	return least >= 0
}

// remove gives the index of a route to the last one.
func (c *callCounts) remove(i int) {
	last := len(c.routes) - 1
	c.routes[i] = c.routes[last]
	c.routes = c.routes[:last]
	for _, list := range []*[maxRunRoutes]float64{&c.runTime, &c.totalTime, &c.ended} {
		list[i], list[last] = list[last], 0
	}
	c.running[i], c.running[last] = c.running[last], 0
	c.products[i], c.products[last] = c.products[last], [maxRunRoutes]float64{}
	for row := range c.products {
		c.products[row][i], c.products[row][last] = c.products[row][last], 0
	}
	for service, sums := range c.callProducts {
		counts := c.attributed[service]
		sums[i], sums[last] = sums[last], 0
		counts[i], counts[last] = counts[last], 0
	}
}

// estimates returns what this node alone has learned, by route and service. exact tells
// whether calls name their runs.
func (c *callCounts) estimates(exact bool) []Estimate {
	if exact {
		return c.exactEstimates()
	}
	var out []Estimate
	inverse := invert(c.products, len(c.routes))
	for i, route := range c.routes {
		if c.ended[i] < 1 || c.totalTime[i] == 0 {
			continue
		}
		meanTime := c.totalTime[i] / c.ended[i]
		for service, sums := range c.callProducts {
			perSecond := 0.0
			for j := range c.routes {
				perSecond += inverse[i][j] * sums[j]
			}
			out = append(out, Estimate{
				Route: route, Service: service, CallsPerRun: perSecond * meanTime, Weight: 1 / (inverse[i][i] * meanTime * meanTime),
			})
		}
	}
	return out
}

// exactEstimates returns the calls of each route's runs by the number of these runs.
func (c *callCounts) exactEstimates() []Estimate {
	var out []Estimate
	for i, route := range c.routes {
		for service, counts := range c.attributed {
			if c.ended[i] >= 1 {
				out = append(out, Estimate{Route: route, Service: service, CallsPerRun: counts[i] / c.ended[i], Weight: c.ended[i]})
			}
		}
	}
	return out
}

// invert returns the inverse of the leading size rows and columns of the matrix, which is
// symmetric and made positive definite by ridge.
func invert(m [maxRunRoutes][maxRunRoutes]float64, size int) [maxRunRoutes][maxRunRoutes]float64 {
	var inverse [maxRunRoutes][maxRunRoutes]float64
	for i := range size {
		m[i][i] += ridge
		inverse[i][i] = 1
	}
	for i := range size {
		pivot := m[i][i]
		for k := range size {
			m[i][k] /= pivot
			inverse[i][k] /= pivot
		}
		for row := range size {
			if row == i {
				continue
			}
			factor := m[row][i]
			for k := range size {
				m[row][k] -= factor * m[i][k]
				inverse[row][k] -= factor * inverse[i][k]
			}
		}
	}
	return inverse
}

// recordOthers replaces the estimates of another node.
func (c *callCounts) recordOthers(now time.Time, host string, list []Estimate) {
	known := map[estimateKey]otherEstimate{}
	for _, e := range list {
		if len(known) < maxRunRoutes*maxCalledServices && e.isValid() {
			known[estimateKey{e.Route, e.Service}] = otherEstimate{Estimate: e, expiresAt: now.Add(otherExpiry)}
		}
	}
	c.others[host] = known
}

// pooled returns the estimates of this node and the others together, each at least 0,
// sorted by route and service.
func (c *callCounts) pooled(now time.Time, exact bool) []Estimate {
	sums := map[estimateKey]Estimate{}
	add := func(e Estimate) {
		sum := sums[estimateKey{e.Route, e.Service}]
		total := sum.Weight + e.Weight
		e.CallsPerRun = (sum.CallsPerRun*sum.Weight + e.CallsPerRun*e.Weight) / total
		e.Weight = total
		sums[estimateKey{e.Route, e.Service}] = e
	}
	for _, e := range c.estimates(exact) {
		add(e)
	}
	maps.DeleteFunc(c.others, func(_ string, list map[estimateKey]otherEstimate) bool {
		maps.DeleteFunc(list, func(_ estimateKey, e otherEstimate) bool { return !now.Before(e.expiresAt) })
		return len(list) == 0
	})
	for _, host := range slices.Sorted(maps.Keys(c.others)) {
		for _, e := range c.others[host] {
			add(e.Estimate)
		}
	}
	out := slices.Collect(maps.Values(sums))
	for i := range out {
		out[i].CallsPerRun = max(out[i].CallsPerRun, 0)
	}
	sortEstimates(out)
	return out
}

func sortEstimates(list []Estimate) {
	slices.SortFunc(list, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Service, b.Service))
	})
}
