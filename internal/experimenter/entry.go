package experimenter

import (
	"math"
	"math/rand/v2"
	"time"

	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/router"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	serviceName = "service"
	// naiveAttempts is how often a request without a retry budget is sent.
	naiveAttempts = 3
)

// call is a caller's request at its entry node.
type call struct {
	flow     *Flow
	arrived  time.Time
	deadline time.Time
	// works holds the service time of each attempt.
	works    [naiveAttempts]time.Duration
	tried    []string
	attempts int
	// open counts the attempts that have not ended.
	open     int
	ended    bool
	hedging  bool
	unknown  bool
	stats    *Stats
	visits   []*visit
	visitsAt []*instance
}

// entry is an entry node.
type entry struct {
	world  *world
	table  *router.Balancer
	budget *retrier.Budget
	rnd    *rand.Rand
	turn   int
}

func (e *entry) arrive(c *call) {
	c.stats.Offered++
	if e.world.scenario.RetryPercent >= 0 {
		e.budget.RecordRequest(e.now(), false)
	}
	e.world.loop.at(c.deadline, func() { e.timeOut(c) })
	e.send(c)
}

func (e *entry) now() time.Time { return e.world.loop.now }

func (e *entry) timeOut(c *call) {
	if c.ended {
		return
	}
	c.stats.Late++
	c.stats.latencies = append(c.stats.latencies, c.flow.Timeout)
	e.finish(c)
}

// finish ends a call and cancels the attempts that are still under way.
func (e *entry) finish(c *call) {
	c.ended = true
	for i, v := range c.visits {
		e.world.loop.after(hop, func() { c.visitsAt[i].cancel(v) })
	}
}

func (e *entry) send(c *call) {
	i, ok := e.choose(c)
	if !ok {
		if c.open == 0 {
			e.refuse(c)
		}
		return
	}
	host := e.world.hosts[i]
	work := c.works[c.attempts]
	c.attempts++
	c.open++
	c.tried = append(c.tried, host)
	sent := e.now()
	e.table.RecordStart(sent, host)
	e.world.loop.after(hop, func() {
		n := e.world.instances[i]
		v := n.receive(c, work, func(r reply) {
			e.world.loop.after(hop, func() { e.answer(c, host, sent, r) })
		})
		c.visits, c.visitsAt = append(c.visits, v), append(c.visitsAt, n)
	})
	e.hedge(c)
}

func (e *entry) choose(c *call) (int, bool) {
	w := e.world
	switch w.scenario.Routing {
	case RouteTable:
		choice, _ := e.table.Choose(e.now(), router.Request{
			Service: serviceName, Class: c.flow.Class, Tried: c.tried,
		}, w.candidates(), e.rnd)
		return choice.Index, choice.OK
	case RouteRoundRobin:
		e.turn++
		return e.turn % len(w.candidates()), true
	case RouteLeastReported:
		return w.leastReported(e.rnd), true
	}
	return e.rnd.IntN(len(w.candidates())), true
}

func (e *entry) state(c *call, o retrier.Outcome) retrier.State {
	return retrier.State{
		Outcome: o, Idempotent: c.flow.Idempotent, MayHaveRun: c.unknown || c.open > 0,
		Replayable: c.flow.Class != snapshotter.ClassBulk, Bulk: c.flow.Class == snapshotter.ClassBulk,
		Attempts: c.attempts, TargetsLeft: len(e.world.instances) - len(c.tried), Deadline: c.deadline,
	}
}

func (e *entry) hedge(c *call) {
	if !e.world.scenario.Hedges || c.hedging {
		return
	}
	a := e.budget.Hedge(e.now(), e.state(c, retrier.OutcomeUnknown))
	if a.Kind != retrier.ActionHedge {
		return
	}
	c.hedging = true
	e.world.loop.at(a.At, func() {
		if !c.ended && c.attempts == 1 && e.budget.SpendHedge(e.now()) {
			e.send(c)
		}
	})
}

func (e *entry) answer(c *call, host string, sent time.Time, r reply) {
	c.open--
	c.unknown = c.unknown || r.outcome == retrier.OutcomeUnknown
	latency := e.now().Sub(sent)
	e.table.RecordResult(e.now(), serviceName, host, router.Result{
		Outcome: r.outcome, Class: c.flow.Class, Latency: latency, Load: &r.load, RetryAfter: r.retryAfter,
		Cancelled: c.ended && r.outcome != retrier.OutcomeDone,
	})
	if r.outcome == retrier.OutcomeDone && c.flow.Class != snapshotter.ClassBulk {
		e.budget.RecordLatency(latency)
	}
	if c.ended {
		return
	}
	if r.outcome == retrier.OutcomeDone {
		c.stats.Good++
		c.stats.latencies = append(c.stats.latencies, e.now().Sub(c.arrived))
		e.finish(c)
		return
	}
	e.again(c, r.outcome)
}

// again sends a call that was refused another time, or gives it up.
func (e *entry) again(c *call, o retrier.Outcome) {
	if c.open > 0 {
		return
	}
	if e.world.scenario.RetryPercent < 0 && c.attempts < naiveAttempts {
		e.send(c)
		return
	}
	if e.world.scenario.RetryPercent >= 0 && e.budget.Next(e.now(), e.state(c, o)).Kind == retrier.ActionRetry {
		e.send(c)
		return
	}
	e.refuse(c)
}

func (e *entry) refuse(c *call) {
	c.stats.Refused++
	e.finish(c)
}

// sigma is the spread of service times, which are log-normal.
const sigma = 0.5

func drawWork(mean time.Duration, rnd *rand.Rand) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2))
}
