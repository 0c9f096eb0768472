// Package router chooses the target of a request at the node where it enters.
// A Table remembers what this node has seen of each target: its own requests
// in flight there, the state that came with the latest answer, and how long
// answers took. Choose samples a few candidates and takes the cheapest.
//
//	table := router.New()
//	choice, _ := table.Choose(now, router.Request{Service: "roster"}, candidates, rnd)
//	if choice.OK {
//		table.Started(now, choice.Host)
//		// forward, then:
//		table.Finished(now, "roster", choice.Host, router.Result{Outcome: outcome, Latency: latency, Load: load})
//	}
package router

import (
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// Candidate is a target that a request may go to.
type Candidate struct {
	Host string
	// Address of the target's node, as ip:port.
	Address    string
	DataCentre string
	// Distance is 0 in this node's own data centre, 1 in its region, 2 elsewhere.
	Distance int
	// Slots that the target announced; at least 1.
	Slots int
	// Cold tells that the target announced that it is starting.
	Cold bool
	// Draining tells that the target takes no new work.
	Draining bool
	// Incarnation of the target's node; 0 when not known.
	Incarnation uint64
	// Learned is when this node last heard of a candidate in another data centre; zero means
	// just now. It does not count in the own one.
	LearnedAt time.Time
}

// Request asks for a target.
type Request struct {
	Service string
	// Route that the request came by; what is usual is learned by route. Empty means by service.
	Route string
	Class snapshotter.Class
	// Bytes of the request and its answer, as far as they can be told beforehand.
	Bytes int
	// RoomOnly asks for a target that is believed to have a free slot, or for none.
	FreeSlotOnly bool
	// Tried names the hosts that this request was sent to before; none is chosen again.
	Tried []string
	// Explain asks for a full Explanation; without it nothing is allocated.
	Explain bool
}

// Choice names the target.
type Choice struct {
	// OK is false when no candidate is left; the other fields are then empty.
	OK      bool
	Host    string
	Address string
	// Index into the candidates.
	Index int
}

// Rejection tells why a candidate was not chosen.
type Rejection string

// The reasons against a candidate.
const (
	// RejectionNone goes with the chosen candidate.
	RejectionNone Rejection = ""
	// RejectionTried means that the request was sent there before.
	RejectionTried Rejection = "tried"
	// RejectionDraining means that the target takes no new work.
	RejectionDraining Rejection = "draining"
	// RejectionRefused means that the target refused a request of the class, or failed, a moment ago.
	RejectionRefused Rejection = "refused"
	// RejectionRoom means that no candidate is believed to have a free slot, and the request asked for one.
	RejectionNoFreeSlot Rejection = "no-room"
	// RejectionCost means that another sampled candidate cost less.
	RejectionCost Rejection = "cost"
	// RejectionDistance means that a nearer target was taken.
	RejectionDistance Rejection = "distance"
	// RejectionSample means that the candidate was not looked at.
	RejectionNotSampled Rejection = "not-sampled"
)

// Explanation tells why a target was chosen. It is empty unless asked for.
type Explanation struct {
	Evaluations []Evaluation
}

// Considered is one candidate as the decision saw it.
type Evaluation struct {
	Host      string
	Rejection Rejection
	// Cost is lower for better candidates; 0 when not sampled.
	Cost float64
	// InFlight is how many requests of this node run there.
	InFlight int
	// Load is what the target's node reported last.
	Load limiter.Load
	// Reported is when Load was received; zero means never.
	Reported time.Time
	// Slowness is how much slower the target is than its service; at least 1.
	Slowness float64
}

// Result tells what became of an attempt.
type Result struct {
	Outcome retrier.Outcome
	Class   snapshotter.Class
	// Route of the request.
	Route string
	// Latency from sending the request to its answer.
	Latency time.Duration
	// Load that came with the answer; nil when none came.
	Load *limiter.Load
	// Failed tells that the target's answer was a failure of its own.
	Failed bool
	// Cancelled tells that this node ended the attempt: the caller went away, its
	// time was over, or another attempt was quicker.
	Cancelled bool
	// RetryAfter is when a refusing target expects to have room; zero means unknown.
	RetryAfter time.Time
}
