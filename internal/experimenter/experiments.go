package experimenter

import (
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/pkg/snapshotter"
)

// Size is how many targets a service has, and what each takes.
type Size struct{ Targets, Slots, Connections int }

// The sizes of the users' services.
var (
	Roster     = Size{Targets: 5, Slots: 10, Connections: 120}
	StatusPage = Size{Targets: 4, Slots: 20, Connections: 110}
	BenchMedia = Size{Targets: 3, Slots: 20, Connections: 110}
)

const (
	// hosts of a user that take callers' requests.
	userHosts = 11
	// work of a short request.
	work = 10 * time.Millisecond
	// uploadWork of a bulk request.
	uploadWork = 2 * time.Second
	// photoWork of a bulk request that is not as long.
	photoWork = 200 * time.Millisecond
	// shortTimeout and urgentTimeout of callers, and uploadTimeout.
	shortTimeout  = 500 * time.Millisecond
	urgentTimeout = 200 * time.Millisecond
	uploadTimeout = 30 * time.Second
	// retryPercent of the services.
	retryPercent = 20
)

// The firms whose requests are told apart.
const (
	FirmPaza     = "paza"
	FirmFrothvik = "frothvik"
	FirmSteady   = "steady"
)

func (z Size) limits() limiter.Limits {
	return limiter.Limits{
		Slots: z.Slots, Connections: z.Connections, Queue: 2 * z.Slots, BulkPercent: 40, UrgentSlots: 2,
	}
}

// capacity is how many short requests a second all targets serve.
func (z Size) capacity() float64 {
	return float64(z.Targets*z.Slots) * float64(time.Second/work)
}

func steady(rate float64) func(time.Time) float64 {
	return func(time.Time) float64 { return rate }
}

func onePhase(name string, d time.Duration) []Phase { return []Phase{{Name: name, Until: At(d)}} }

// PhaseAll is the only phase of scenarios that have one.
const PhaseAll = "all"

// base returns a service at half of its capacity, all targets well.
func base(seed uint64, z Size) Scenario {
	return Scenario{
		Seed: seed, Entries: userHosts, Targets: make([]Target, z.Targets), Limits: z.limits(),
		Flows: []Flow{{
			Class: snapshotter.ClassShort, Firm: FirmPaza, Rate: steady(0.5 * z.capacity()),
			Work: work, Timeout: shortTimeout, Idempotent: true,
		}},
		Phases:  onePhase(PhaseAll, 10*time.Second),
		Routing: RouteTable, Admission: AdmitGate, RetryPercent: retryPercent,
	}
}

// SlowTarget slows one of five targets ten times for half a second, another
// one each two seconds.
func SlowTarget(seed uint64) Scenario {
	s := base(seed, Roster)
	for k := range len(s.Targets) {
		from := At(time.Duration(2*k+1) * time.Second)
		t := &s.Targets[k]
		t.Spells = append(t.Spells, Spell{From: from, Until: from.Add(500 * time.Millisecond), Slowness: 10, Loss: 1})
	}
	return s
}

// AllSlow slows every target ten times for five seconds.
func AllSlow(seed uint64) Scenario {
	s := base(seed, Roster)
	for i := range s.Targets {
		s.Targets[i].Spells = []Spell{{From: At(3 * time.Second), Until: At(8 * time.Second), Slowness: 10, Loss: 1}}
	}
	s.Phases = []Phase{
		{Name: "before", Until: At(3 * time.Second)},
		{Name: "onset", Until: At(4 * time.Second)},
		{Name: "slow", Until: At(8 * time.Second)},
		{Name: "settling", Until: At(10 * time.Second)},
		{Name: "after", Until: At(13 * time.Second)},
	}
	return s
}

// Liar slows one target ten times for the whole run while its reports say that it is idle.
func Liar(seed uint64) Scenario {
	s := base(seed, Roster)
	s.Targets[0] = Target{
		Lies:   true,
		Spells: []Spell{{From: Epoch, Until: At(time.Hour), Slowness: 10, Loss: 1}},
	}
	return s
}

// MostSlow slows three of five targets ten times for the whole run, so that the
// two others can't serve everything.
func MostSlow(seed uint64) Scenario {
	s := base(seed, Roster)
	for i := range 3 {
		s.Targets[i].Spells = []Spell{{From: Epoch, Until: At(time.Hour), Slowness: 10, Loss: 1}}
	}
	return s
}

// Contention takes four fifths of the capacity of every target for five
// seconds, and each request beyond what is left costs a part of it.
func Contention(seed uint64) Scenario {
	s := AllSlow(seed)
	for i := range s.Targets {
		p := &s.Targets[i].Spells[0]
		p.Slowness, p.Loss, p.Thrash = 1, 5, 0.2
	}
	return s
}

// ColdStart adds a sixth target at three seconds that is five times slower in
// its first three.
func ColdStart(seed uint64) Scenario {
	s := base(seed, Roster)
	ready := At(3 * time.Second)
	s.Targets = append(s.Targets, Target{
		Ready:  ready,
		Spells: []Spell{{From: ready, Until: ready.Add(3 * time.Second), Slowness: 5, Loss: 1}},
	})
	s.Phases = []Phase{
		{Name: "before", Until: ready},
		{Name: "cold", Until: ready.Add(3 * time.Second)},
		{Name: "after", Until: At(10 * time.Second)},
	}
	return s
}

// Crest raises one firm's short requests so that all requests together go
// from once to four times the capacity and back, each within a second, while
// the flows of a steady firm, of urgent checks and of uploads stay as they are.
func Crest(seed uint64, z Size) Scenario {
	s, capacity := base(seed, z), z.capacity()
	s.Flows = []Flow{
		{Class: snapshotter.ClassShort, Firm: FirmPaza, Rate: swing(0.65*capacity, 3*capacity), Work: work, Timeout: shortTimeout, Idempotent: true},
		{Class: snapshotter.ClassShort, Firm: FirmSteady, Rate: steady(0.15 * capacity), Work: work, Timeout: shortTimeout, Idempotent: true},
		{Class: snapshotter.ClassUrgent, Firm: FirmPaza, Rate: steady(0.1 * capacity), Work: work, Timeout: urgentTimeout, Idempotent: true},
		{Class: snapshotter.ClassBulk, Firm: FirmPaza, Rate: steady(0.1 * capacity * float64(work) / float64(photoWork)), Work: photoWork, Timeout: uploadTimeout},
	}
	s.Phases = []Phase{
		{Name: "warm-up", Until: At(2 * time.Second)},
		{Name: "1x", Until: At(6 * time.Second)},
		{Name: "rise", Until: At(7 * time.Second)},
		{Name: "4x", Until: At(11 * time.Second)},
		{Name: "fall", Until: At(12 * time.Second)},
		{Name: "1x again", Until: At(16 * time.Second)},
	}
	return s
}

// swing returns a rate that rises by extra between 6 s and 7 s and falls back between 11 s and 12 s.
func swing(usual, extra float64) func(time.Time) float64 {
	return func(t time.Time) float64 {
		rise := t.Sub(At(6 * time.Second)).Seconds()
		fall := At(12 * time.Second).Sub(t).Seconds()
		return usual + extra*min(max(min(rise, fall), 0), 1)
	}
}

// Uploads sends Frothvik's bench-media lookups at a third of its capacity
// beside uploads that ask for the whole of it.
func Uploads(seed uint64) Scenario {
	s, capacity := base(seed, BenchMedia), BenchMedia.capacity()
	s.Flows = []Flow{
		{Class: snapshotter.ClassShort, Firm: FirmFrothvik, Rate: steady(0.3 * capacity), Work: work, Timeout: shortTimeout, Idempotent: true},
		{Class: snapshotter.ClassUrgent, Firm: FirmFrothvik, Rate: steady(0.05 * capacity), Work: work, Timeout: urgentTimeout, Idempotent: true},
		{Class: snapshotter.ClassBulk, Firm: FirmFrothvik, Rate: steady(capacity * float64(work) / float64(uploadWork)), Work: uploadWork, Timeout: uploadTimeout},
	}
	s.Phases = []Phase{{Name: "warm-up", Until: At(5 * time.Second)}, {Name: PhaseAll, Until: At(20 * time.Second)}}
	return s
}

// WithoutUploads returns the scenario without its bulk flows.
func WithoutUploads(s Scenario) Scenario {
	var flows []Flow
	for _, f := range s.Flows {
		if f.Class != snapshotter.ClassBulk {
			flows = append(flows, f)
		}
	}
	s.Flows = flows
	return s
}

// WithoutShares returns the scenario with every slot open to every class.
func WithoutShares(s Scenario) Scenario {
	s.Limits.BulkPercent, s.Limits.UrgentSlots = 100, 0
	return s
}

// Fleet spreads the callers of the roster, at two thirds of its capacity, over
// many entry nodes, each of which sees little of it.
func Fleet(seed uint64, entries int) Scenario {
	s := base(seed, Roster)
	s.Entries = entries
	s.Flows[0].Rate = steady(Roster.capacity() * 2 / 3)
	return s
}

// SlowFleet is SlowTarget with many entry nodes.
func SlowFleet(seed uint64, entries int) Scenario {
	s := SlowTarget(seed)
	s.Entries = entries
	return s
}

// With returns the scenario with another way of choosing and of admitting.
func With(s Scenario, r Routing, a Admission) Scenario {
	s.Routing, s.Admission = r, a
	return s
}
