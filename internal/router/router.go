// Package router chooses the target of a request at the node where it enters.
// A Balancer records what this node has observed of each target: its own
// requests in flight, the load reported with the latest answer, and the latency
// of answers. Choose samples a few candidates and takes the cheapest.
//
//	balancer := router.New()
//	choice, _ := balancer.Choose(now, router.Request{Service: "roster"}, candidates, rnd)
//	if choice.OK {
//		balancer.RecordStart(now, choice.Host)
//		// forward, then:
//		balancer.RecordResult(now, "roster", choice.Host, router.Result{Outcome: outcome, Latency: latency, Load: load})
//	}
package router

import (
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// Candidate is a target that may serve a request.
type Candidate struct {
	Host string
	// Address is the address of the target's node, as ip:port.
	Address    string
	DataCentre string
	// Distance is 0 in this node's own data centre, 1 elsewhere in its region, 2 in another region.
	Distance int
	// Slots is how many slots the target announced; at least 1.
	Slots int
	// LinkMbit is the speed of the link of the target's host in Mbit/s; 0 if unknown, or if
	// the answer does not cross it on its way here.
	LinkMbit int
	// Cold reports whether the target announced that it is starting.
	Cold bool
	// Draining reports whether the target accepts no new requests.
	Draining bool
	// Incarnation is the incarnation of the target's node; 0 if unknown.
	Incarnation uint64
	// LearnedAt is when this node last received information about a candidate in
	// another data centre; zero means just now. It is ignored in this node's own one.
	LearnedAt time.Time
}

// Request describes the request to route.
type Request struct {
	Service string
	// Route is the route that the request matched. Usual latencies are learned by
	// route, or by service if it is empty.
	Route string
	Class snapshotter.Class
	// Priority of the request; 0 is the most urgent.
	Priority int
	// Bytes is the size of the request and its answer, as far as known in advance.
	Bytes int
	// FreeSlotOnly asks for a target that is expected to have a free slot, or for none.
	FreeSlotOnly bool
	// AsksRefusing asks for a target that has refused recently if there is no other, also
	// after further targets have refused this request.
	AsksRefusing bool
	// Tried lists the hosts that this request was already sent to; none is chosen again.
	Tried []string
	// Explain asks for a full Explanation; without it Choose does not allocate.
	Explain bool
}

// Choice is the chosen target.
type Choice struct {
	// OK is false when no candidate can be chosen; the other fields are then empty.
	OK      bool
	Host    string
	Address string
	// Index of the target in the candidates.
	Index int
}

// Rejection is why a candidate was not chosen.
type Rejection string

// The reasons for rejecting a candidate.
const (
	// RejectionNone is set for the chosen candidate.
	RejectionNone Rejection = ""
	// RejectionTried means that the request was already sent there.
	RejectionTried Rejection = "tried"
	// RejectionDraining means that the target accepts no new requests.
	RejectionDraining Rejection = "draining"
	// RejectionRefused means that the target recently refused a request of the class, or failed.
	RejectionRefused Rejection = "refused"
	// RejectionNoFreeSlot means that the request asked for a free slot and no candidate
	// is expected to have one.
	RejectionNoFreeSlot Rejection = "no-room"
	// RejectionCost means that another sampled candidate cost less.
	RejectionCost Rejection = "cost"
	// RejectionDistance means that a nearer target was chosen.
	RejectionDistance Rejection = "distance"
	// RejectionNotSampled means that the candidate was not in the sample.
	RejectionNotSampled Rejection = "not-sampled"
)

// Explanation is why a target was chosen. It is empty unless Request.Explain is set.
type Explanation struct {
	// Candidates is how many candidates there were.
	Candidates int
	// Evaluations holds the sampled candidates and further ones, at most maxEvaluations.
	Evaluations []Evaluation
}

// maxEvaluations bounds the evaluations of one decision. A node keeps those of its latest
// requests, and a service may have any number of candidates.
const maxEvaluations = 16

// Evaluation is the state of one candidate at the time of the decision.
type Evaluation struct {
	Host      string
	Rejection Rejection
	// Cost is lower for better candidates; 0 when not sampled.
	Cost float64
	// InFlight is how many requests of this node are in flight there.
	InFlight int
	// Load is the load that the target's node last reported.
	Load limiter.Load
	// Reported is when Load was received; zero means never.
	Reported time.Time
	// Slowness is the ratio of the target's latency to what is usual at its service,
	// between minSlowness and maxSlowness.
	Slowness float64
}

// Result is the result of an attempt.
type Result struct {
	Outcome retrier.Outcome
	Class   snapshotter.Class
	// Route of the request.
	Route string
	// Priority of the request. A refusal says nothing of more urgent ones.
	Priority int
	// Latency is the time from sending the request to its answer.
	Latency time.Duration
	// Load is the load reported with the answer; nil when there was none.
	Load *limiter.Load
	// Failed reports whether the target answered with a failure of its own.
	Failed bool
	// Cancelled reports whether this node ended the attempt: the caller went away, the
	// deadline passed, or another attempt was faster.
	Cancelled bool
	// RouteRefused is set if a refusal concerns the requests of the route only, so that the
	// target still takes others.
	RouteRefused bool
	// RetryAfter is when a refusing target expects a free slot; zero if unknown.
	RetryAfter time.Time
}
