// Package announcer keeps the entry of the target on this host. The target
// announces itself every second or so by an HTTP request, and counts as failed
// when it falls silent. What requests show of it outranks what health checks
// say, in this order:
//
//  1. The target's own word that it drains, and its silence, count at once.
//  2. Failed requests in a row, with no success among them for a moment, make
//     it failed, whatever checks say.
//  3. Failed checks in a row make it failed, unless a request has succeeded lately.
//  4. A check that passes brings nothing back before its time is up.
//
// A target that failed is held out for a time that doubles with each fall, so
// that one which flaps costs little.
//
//	mux.Handle("/announce", announcer.Handler(board.Post, time.Now, log))
package announcer

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// Times of the rules.
const (
	// LapseAfter is how long an announcement lasts.
	LapseAfter = 2500 * time.Millisecond
	// requestQuiet is how long no request may have succeeded before failed ones count.
	requestQuiet = 500 * time.Millisecond
	// requestEvidence is how long a success outranks failed checks.
	requestEvidence = 2 * time.Second
	// checkPeriod is the time between two checks.
	checkPeriod = 2 * time.Second
	// checkTimeout ends a check without an answer.
	checkTimeout = 1 * time.Second
	// holdStart is how long a target is held out after its first fall; it doubles up to holdCap.
	holdStart = 500 * time.Millisecond
	holdCap   = 10 * time.Second
	// stableAfter is how long a target must be ready for its falls to be forgiven.
	stableAfter = 30 * time.Second
)

// How many failures in a row count.
const (
	requestFailures = 5
	checkFailures   = 3
	maxFalls        = 8
)

// Config is what an announcer is made of.
type Config struct {
	// Check probes the health of the target; nil means that there are no checks.
	Check func(ctx context.Context, address string) error
	// Now is the clock of the effects; Reduce takes its time from messages.
	Now func() time.Time
}

// CheckTarget is the effect of one health check.
type CheckTarget struct {
	Address string
	// Ends is when the check counts as failed.
	Ends time.Time
}

// New returns the controller of the entry Target. It stands before the
// gossiper on the board, which passes on what it decides.
func New(cfg Config) blackboard.Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return blackboard.Controller{
		Name: "announcer",
		Reduce: func(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
			return Reduce(s, msg, cfg.Check != nil)
		},
		Run: cfg.run,
	}
}

func (cfg Config) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	check, ok := e.(CheckTarget)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, check.Ends)
	defer cancel()
	err := cfg.Check(ctx, check.Address)
	post(blackboard.TargetChecked{Address: check.Address, Success: err == nil, Now: cfg.Now()})
}

// Reduce answers one message. It is pure.
func Reduce(s blackboard.State, msg blackboard.Msg, checks bool) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	t := s.Target
	switch m := msg.(type) {
	case blackboard.Tick:
		if checks {
			t, effects = startCheck(t, m.Now)
		}
		s.Target = settle(t, s.Life.Phase, m.Now)
	case blackboard.TargetAnnounced:
		s.Target = settle(announce(t, m), s.Life.Phase, m.Now)
	case blackboard.TargetObserved:
		s.Target = settle(observe(t, m), s.Life.Phase, m.Now)
	case blackboard.TargetChecked:
		s.Target = settle(checked(t, m), s.Life.Phase, m.Now)
	case blackboard.StopRequested:
		s.Target = settle(t, blackboard.LifeDraining, m.Now)
	}
	return s, effects
}
