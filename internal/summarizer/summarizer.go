// Package summarizer distributes a summary of each data centre to all others.
// One relay of a data centre, the publisher, publishes its summary: for each
// service the number of ready targets, their slots, and a few hosts. The
// publishers of other data centres follow it. Within a data centre, the other
// relays follow their publisher, and each further node follows its parent in the
// distribution tree, or a random peer while it has none. A follower receives
// only changes.
//
// The versions of a summary are ordered by epoch and sequence. An epoch is the
// time at which its publisher began, so two concurrent publishers are harmless:
// the later one wins everywhere. Each delta carries the digest of its result; if
// the digest does not match, the follower requests the full summary.
//
// The last summary of an unreachable data centre is kept for SummaryRetention;
// its Received shows its age.
package summarizer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
)

// SummaryRetention is how long the summary of a silent data centre is kept.
const SummaryRetention = 24 * time.Hour

// MaxSteadyAge is the maximum age of a summary in normal operation: the time
// between two heartbeats, plus a flush at each level of the tree.
const MaxSteadyAge = heartbeatPeriod + 4*flushPeriod

const (
	// summaryPeriod is the time between two counts of the member table.
	summaryPeriod = 1 * time.Second
	// heartbeatPeriod is the time after which an unchanged summary gets a new sequence number.
	heartbeatPeriod = 10 * time.Second
	// epochBackoffBase is the minimum time between the first two epochs of one
	// publisher. It doubles with each epoch up to maxEpochBackoff.
	epochBackoffBase         = 10 * time.Second
	maxEpochBackoff          = 10 * time.Minute
	maxEpochBackoffDoublings = 8
	// relaysPeriod is the time between two searches for the other data centres' relays.
	relaysPeriod = 60 * time.Second
	// searchBackoffBase is the delay of the search for relays after
	// failuresBeforeSearch streams to a data centre have ended without a delta. It
	// doubles with each further one up to relaysPeriod.
	searchBackoffBase = 2 * time.Second
	// maxFirstFindDelay bounds the random delay of the first search, which spreads
	// the searches of relays that start together.
	maxFirstFindDelay = 5 * time.Second
	// followPeriod is the time between two checks of which nodes to follow.
	followPeriod = 500 * time.Millisecond
	// reselectPeriod is how long a randomly chosen peer is followed.
	reselectPeriod = 30 * time.Second
	// flushPeriod is the time between two updates of Remote by heartbeats alone.
	flushPeriod = 5 * time.Second
	// retryBackoffBase is the delay of the first retry after a stream ended. It
	// doubles with each failure up to maxRetryBackoff.
	retryBackoffBase = 1 * time.Second
	maxRetryBackoff  = 5 * time.Second
	// failuresBeforeSearch is how many streams to a data centre must end before
	// its relays are searched again.
	failuresBeforeSearch = 2
	// maxHostsNamed is how many hosts of a service a summary names at most.
	maxHostsNamed = 3
	// slotChangeDivisor is the inverse of the share of a service's slots that must
	// change for the change to be published: 20 means 5%.
	slotChangeDivisor = 20
)

// Config holds the settings and dependencies of a summarizer.
type Config struct {
	// Open opens a stream of kind StreamKind to a node.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// FindRelays returns the addresses of all relays, by data centre.
	FindRelays func(ctx context.Context) (map[string][]string, error)
	// Now is the clock for effects and defaults to time.Now; Reduce takes the time from messages.
	Now func() time.Time
	Log *logger.Logger
}

// FindRelays is the effect of reading the relays of all data centres from the platform.
type FindRelays struct{}

// Follow is the effect of following a node's summaries. It replaces an earlier Follow with the same key.
type Follow struct {
	Key     string
	Address string
	// Only is the single data centre to follow; empty for all.
	Only  string
	Self  blackboard.Self
	Marks Marks
}

// Unfollow is the effect of ending the stream of an earlier Follow with the same key.
type Unfollow struct{ Key string }

// New returns the controller of Remote and Summary in the entry Members. It must
// come after the gossiper in the board's list of controllers.
func New(cfg Config) blackboard.Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	r := &runner{Config: cfg, streams: map[string]stream{}}
	return blackboard.Controller{Name: "summarizer", Reduce: Reduce, Run: r.run}
}

// Reduce handles one message and returns the next state and its effects. It is
// pure: random numbers come from a seed in the state.
func Reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	d := &draft{state: &s, remote: s.Members.Remote}
	if s.Members.Summary != nil {
		d.exchange = *s.Members.Summary
	} else {
		d.exchange.Seed = xxhash.Sum64String(s.Self.Host) ^ s.Self.Incarnation
	}
	switch m := msg.(type) {
	case blackboard.Tick:
		d.tick(m.Now)
	case blackboard.RelaysFound:
		d.handleRelaysFound(m)
	case blackboard.SummaryReceived:
		d.now = m.Now
		d.receiveDelta(m.Delta)
	case blackboard.SummaryEpochReported:
		d.exchange.MaxSeenEpoch = max(d.exchange.MaxSeenEpoch, m.Epoch)
	case blackboard.SummaryStreamEnded:
		d.handleStreamEnd(m)
	default:
		return s, nil
	}
	s.Members.Remote = d.remote
	s.Members.Summary = &d.exchange
	return s, d.effects
}

// draft is the next state while one message is handled.
type draft struct {
	state    *blackboard.State
	now      time.Time
	exchange blackboard.SummaryExchange
	remote   map[string]blackboard.DataCentreSummary
	effects  []blackboard.Effect
}

func (d *draft) tick(now time.Time) {
	d.now = now
	if !now.Before(d.exchange.NextSummary) {
		d.exchange.NextSummary = now.Add(summaryPeriod)
		d.publish()
	}
	if d.isRelay() {
		d.findRelays()
	}
	if !now.Before(d.exchange.NextFlush) {
		d.exchange.NextFlush = now.Add(flushPeriod)
		d.flushHeartbeats()
	}
	if !now.Before(d.exchange.NextFollow) {
		d.exchange.NextFollow = now.Add(followPeriod)
		d.updateFollows()
	}
}

// findRelays searches for the relays of the other data centres when a search is
// due. A random delay spreads the first searches of relays that start together.
func (d *draft) findRelays() {
	if d.exchange.NextRelayRead.IsZero() {
		d.exchange.NextRelayRead = d.now.Add(time.Duration(d.rand().Int64N(int64(maxFirstFindDelay))))
	}
	if !d.now.Before(d.exchange.NextRelayRead) {
		d.exchange.NextRelayRead = d.now.Add(d.jitter(relaysPeriod))
		d.effects = append(d.effects, FindRelays{})
	}
}

// rand returns a random number generator that is seeded from the state alone.
func (d *draft) rand() *rand.Rand {
	d.exchange.Draws++
	return rand.New(rand.NewPCG(d.exchange.Seed, d.exchange.Draws))
}

// jitter returns a random duration between 3/4 and 5/4 of the period.
func (d *draft) jitter(period time.Duration) time.Duration {
	return period*3/4 + time.Duration(d.rand().Int64N(int64(period/2)))
}
