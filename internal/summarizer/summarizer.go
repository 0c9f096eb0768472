// Package summarizer tells each data centre what the others have. One relay of
// a data centre publishes its summary: for each service the ready targets,
// their slots, and a few hosts. Relays of other data centres follow it; within
// a data centre each node follows its parent in the distribution tree, or a
// random peer while it has none. A follower gets what changed and nothing else.
//
// A summary is ordered by epoch and sequence. An epoch is the time at which its
// publisher began, so two publishers at once are harmless: the later one wins
// everywhere. Each delta carries the digest of its result; when that does not
// fit, the follower asks for the whole summary.
//
// A data centre that cannot be reached keeps its last summary, whose Received
// shows its age, until KeepSilent has passed.
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

// KeepSilent is how long the summary of a silent data centre is kept.
const KeepSilent = 24 * time.Hour

// MaxSteadyAge is how old a summary may be while nothing is wrong: the time
// between heartbeats, and a flush at each level of the tree.
const MaxSteadyAge = heartbeatPeriod + 4*flushPeriod

const (
	// summaryPeriod is the time between two looks at the member table.
	summaryPeriod = 1 * time.Second
	// heartbeatPeriod is the time after which an unchanged summary gets a new sequence.
	heartbeatPeriod = 10 * time.Second
	// raisePeriod is the least time between two epochs of one publisher; it doubles up to raiseCap.
	raisePeriod = 10 * time.Second
	raiseCap    = 10 * time.Minute
	maxRaises   = 8
	// relaysPeriod is the time between two readings of the other data centres' relays.
	relaysPeriod = 60 * time.Second
	// searchStart follows the failure of every known relay of a data centre; it doubles up to relaysPeriod.
	searchStart = 2 * time.Second
	// findSpread is how far the first readings of relays that start together are apart.
	findSpread = 5 * time.Second
	// followPeriod is the time between two looks at which nodes to follow.
	followPeriod = 500 * time.Millisecond
	// choosePeriod is how long a randomly chosen peer is followed.
	choosePeriod = 30 * time.Second
	// flushPeriod is the time between two updates of Remote by heartbeats alone.
	flushPeriod = 5 * time.Second
	// retryStart follows a stream that ended; it doubles up to retryCap.
	retryStart = 1 * time.Second
	retryCap   = 5 * time.Second
	// failuresBeforeSearch is how many streams to a data centre end before its relays are read again.
	failuresBeforeSearch = 2
	// sampleHosts is how many hosts of a service a summary names.
	sampleHosts = 3
	// countTolerance is the inverse of the share of slots whose change is not worth telling.
	countTolerance = 20
)

// Config is what a summarizer is made of.
type Config struct {
	// Open starts a stream of kind StreamKind to a node.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// FindRelays returns the addresses of the relays of all data centres by data centre.
	FindRelays func(ctx context.Context) (map[string][]string, error)
	// Now is the clock of the effects; Reduce takes its time from messages.
	Now func() time.Time
	Log *logger.Logger
}

// FindRelays is the effect of reading the relays of all data centres.
type FindRelays struct{}

// Follow is the effect of following a node's summaries. It replaces an earlier one of the same key.
type Follow struct {
	Key     string
	Address string
	// Only is the data centre to follow; empty for all.
	Only  string
	Self  blackboard.Self
	Marks Marks
}

// Unfollow is the effect of ending what an earlier Follow began.
type Unfollow struct{ Key string }

// New returns the controller of Remote and Summary in the entry Members. It
// stands behind the gossiper on the board.
func New(cfg Config) blackboard.Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	r := &runner{Config: cfg, streams: map[string]stream{}}
	return blackboard.Controller{Name: "summarizer", Reduce: Reduce, Run: r.run}
}

// Reduce answers one message. It is pure: the random numbers come from a seed in the state.
func Reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	d := &draft{state: &s, remote: s.Members.Remote}
	if s.Members.Summary != nil {
		d.x = *s.Members.Summary
	} else {
		d.x.Seed = xxhash.Sum64String(s.Self.Host) ^ s.Self.Incarnation
	}
	switch m := msg.(type) {
	case blackboard.Tick:
		d.tick(m.Now)
	case blackboard.RelaysFound:
		d.relaysFound(m)
	case blackboard.SummaryReceived:
		d.now = m.Now
		d.take(m.Delta)
	case blackboard.SummaryEpochReported:
		d.x.MaxSeenEpoch = max(d.x.MaxSeenEpoch, m.Epoch)
	case blackboard.SummaryStreamEnded:
		d.ended(m)
	default:
		return s, nil
	}
	s.Members.Remote = d.remote
	s.Members.Summary = &d.x
	return s, d.effects
}

// draft is the next state while one message is handled.
type draft struct {
	state   *blackboard.State
	now     time.Time
	x       blackboard.SummaryExchange
	remote  map[string]blackboard.DataCentreSummary
	effects []blackboard.Effect
}

func (d *draft) tick(now time.Time) {
	d.now = now
	if !now.Before(d.x.NextSummary) {
		d.x.NextSummary = now.Add(summaryPeriod)
		d.publish()
	}
	if d.isRelay() {
		d.findRelays()
	}
	if !now.Before(d.x.NextFlush) {
		d.x.NextFlush = now.Add(flushPeriod)
		d.flush()
	}
	if !now.Before(d.x.NextFollow) {
		d.x.NextFollow = now.Add(followPeriod)
		d.follow()
	}
}

// findRelays reads the relays of the other data centres now and then. The first
// searches of relays that start together are spread.
func (d *draft) findRelays() {
	if d.x.NextRelayRead.IsZero() {
		d.x.NextRelayRead = d.now.Add(time.Duration(d.rand().Int64N(int64(findSpread))))
	}
	if !d.now.Before(d.x.NextRelayRead) {
		d.x.NextRelayRead = d.now.Add(d.jitter(relaysPeriod))
		d.effects = append(d.effects, FindRelays{})
	}
}

// rand returns random numbers that the state alone determines.
func (d *draft) rand() *rand.Rand {
	d.x.Draws++
	return rand.New(rand.NewPCG(d.x.Seed, d.x.Draws))
}

// jitter returns a time of three to five quarters of the given one.
func (d *draft) jitter(period time.Duration) time.Duration {
	return period*3/4 + time.Duration(d.rand().Int64N(int64(period/2)))
}
