package experimenter

import (
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/pkg/snapshotter"
)

// Routing is how an entry node chooses a target.
type Routing string

// The ways of choosing.
const (
	// RouteTable is router.Table.
	RouteTable Routing = "table"
	// RouteRoundRobin takes the targets in turn.
	RouteRoundRobin Routing = "round-robin"
	// RouteLeastReported takes the target with the least load in reports that come every reportEvery.
	RouteLeastReported Routing = "least-reported"
	// RouteRandom takes any target.
	RouteRandom Routing = "random"
)

// Admission is how a target's node treats a request.
type Admission string

// The ways of admitting.
const (
	// AdmitGate is limiter.Gate.
	AdmitGate Admission = "gate"
	// AdmitFIFO runs as many as there are slots and queues the rest without bound.
	AdmitFIFO Admission = "fifo"
	// AdmitAll runs everything at once, up to the target's connections.
	AdmitAll Admission = "all"
)

// Spell is a time in which a target is slower.
type Spell struct {
	From, Until time.Time
	// Slowness divides the speed of every request; at least 1.
	Slowness float64
	// Loss divides the number of requests that run at full speed; at least 1.
	Loss float64
	// Thrash is the part of the capacity that each request beyond it costs.
	Thrash float64
}

// Target describes one instance of the service.
type Target struct {
	Spells []Spell
	// Distance from the entry nodes, as in router.Candidate.
	Distance int
	// Ready is when the target starts taking work; zero means always.
	Ready time.Time
	// Lies tells that its reports always say that it is idle and fast.
	Lies bool
}

// Flow is a stream of requests of one class and firm.
type Flow struct {
	Class snapshotter.Class
	Firm  string
	// Rate in requests a second at a time.
	Rate func(t time.Time) float64
	// Work is the mean service time of a request alone.
	Work time.Duration
	// Timeout of a caller, from the arrival of its request.
	Timeout time.Duration
	// Idempotent requests may be retried after an unknown outcome, and hedged.
	Idempotent bool
}

// Phase is a part of the run that is reported on its own, by time of arrival.
type Phase struct {
	Name  string
	Until time.Time
}

// Scenario is one experiment. Two that differ only in Routing, Admission,
// Retries and Hedges see the same requests at the same times.
type Scenario struct {
	Seed uint64
	// Entries is how many entry nodes there are; each knows only what it has seen.
	Entries   int
	Targets   []Target
	Limits    limiter.Limits
	Flows     []Flow
	Phases    []Phase
	Routing   Routing
	Admission Admission
	// RetryPercent of the requests may be sent again; negative means twice each at once.
	RetryPercent int
	// Hedges tells that idempotent requests may be hedged.
	Hedges bool
}

// Epoch is when every scenario starts.
var Epoch = time.Unix(1_800_000_000, 0)

// At returns a time of a scenario.
func At(d time.Duration) time.Time { return Epoch.Add(d) }

const (
	// reportEvery is the time between two load reports of a target.
	reportEvery = time.Second
	// idleCheck is the time between two looks at a flow whose rate is zero.
	idleCheck = 10 * time.Millisecond
	// hop is the time from an entry node to a target's node.
	hop = 250 * time.Microsecond
	// settleFor is the time after the last phase in which requests under way may end.
	settleFor = 60 * time.Second
)
