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
// A node that has just started gives its target nothing before this announces
// itself, whatever its health check says: the process before it may have
// acknowledged that the target leaves.
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
	"gentianbarrow.example/internal/logger"
)

// Times of the rules.
const (
	// LapseAfter is how long an announcement lasts.
	AnnouncementLifetime = 2500 * time.Millisecond
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
	Check func(ctx context.Context, address, path string) error
	// LapseAfter is how long an announcement lasts; 0 means the time of this package.
	AnnouncementLifetime time.Duration
	Log                  *logger.Logger
	// Now is the clock of the effects; Reduce takes its time from messages.
	Now func() time.Time
}

// CheckTarget is the effect of one health check.
type CheckTarget struct {
	Address string
	// Path is where the target tells its health; empty means the path of its contract.
	Path string
	// Ends is when the check counts as failed.
	Deadline time.Time
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
			before := s.Target.Record
			next, effects := Reduce(s, msg, cfg.rules())
			if next.Target.Record.Phase != before.Phase {
				effects = append(effects, phaseChanged{before: before.Phase, target: next.Target})
			}
			return next, effects
		},
		Run: cfg.run,
	}
}

func (cfg Config) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case CheckTarget:
		cfg.check(ctx, e, post)
	case confirm:
		e.applied()
	case phaseChanged:
		cfg.Log.Write(logger.TargetChanged, logger.Fields{
			Service: e.target.Record.Service, Peer: e.target.Address, Target: e.target.ID,
			Reason: string(e.before) + " to " + string(e.target.Record.Phase), Count: e.target.Evidence.Failures,
		})
	}
}

func (cfg Config) check(ctx context.Context, check CheckTarget, post blackboard.Post) {
	ctx, cancel := context.WithDeadline(ctx, check.Deadline)
	defer cancel()
	err := cfg.Check(ctx, check.Address, check.Path)
	post(blackboard.TargetChecked{Address: check.Address, Success: err == nil, Now: cfg.Now()})
}

// Effects of this controller besides CheckTarget.
type (
	// confirm tells the target that its message has taken effect.
	confirm      struct{ applied func() }
	phaseChanged struct {
		before blackboard.TargetPhase
		target blackboard.Target
	}
)

// rules are what Reduce is told of a Config.
type rules struct {
	checks     bool
	lapseAfter time.Duration
}

func (cfg Config) rules() rules {
	r := rules{checks: cfg.Check != nil, lapseAfter: cfg.AnnouncementLifetime}
	if r.lapseAfter == 0 {
		r.lapseAfter = AnnouncementLifetime
	}
	return r
}

// Reduce answers one message. It is pure.
func Reduce(s blackboard.State, msg blackboard.Msg, r rules) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	t := s.Target
	switch m := msg.(type) {
	case blackboard.Tick:
		if r.checks {
			t, effects = startCheck(t, healthPath(&s), m.Now)
		}
		s.Target = settle(t, s.Lifecycle, m.Now)
	case blackboard.TargetAnnounced:
		s.Target = settle(announce(t, m, r.lapseAfter), s.Lifecycle, m.Now)
		effects = confirmed(m.Applied)
	case blackboard.TargetLeft:
		s.Target = settle(leave(t, m), s.Lifecycle, m.Now)
		effects = confirmed(m.Applied)
	case blackboard.TargetMismatched:
		s.Target = settle(mistaken(t, m), s.Lifecycle, m.Now)
	case blackboard.TargetObserved:
		s.Target = settle(observe(t, m), s.Lifecycle, m.Now)
	case blackboard.TargetChecked:
		s.Target = settle(checked(t, m), s.Lifecycle, m.Now)
	case blackboard.StopRequested:
		s.Target = settle(t, s.Lifecycle, m.Now)
	}
	return s, effects
}

func confirmed(applied func()) []blackboard.Effect {
	if applied == nil {
		return nil
	}
	return []blackboard.Effect{confirm{applied: applied}}
}

// healthPath returns where the running configuration has the target tell its health.
func healthPath(s *blackboard.State) string {
	if s.Config.Running == nil {
		return ""
	}
	return s.Config.Running.Services[s.Target.Record.Service].HealthPath
}
