// Package announcer owns the blackboard's entry Target, the state of the target
// on this host. The target announces itself about once a second by an HTTP
// request and counts as failed when its announcements stop. The results of
// requests outrank those of health checks. These rules decide its phase, in
// order of precedence:
//
//  1. An announcement that the target drains, an answer of the target that says so,
//     and missing announcements take effect at once.
//  2. Consecutive failed requests with no success for minTimeSinceSuccess make
//     the target failed, whatever its health checks show.
//  3. Consecutive failed health checks make it failed, unless a request has
//     succeeded within successValidity.
//  4. A health check that passes does not end the hold-down of a target.
//
// A node that has just started sends no work to its target before the target
// announces itself, even when its health check passes: an earlier process of the
// node may have acknowledged that the target leaves. An announcement alone does not
// show that it stays either, since it may have been delayed. So what the target
// states of its departure is kept by the platform, where there is one that does, and
// read by the next process of the node before its target gets work. The other nodes
// keep it as well, and tell the next process when they connect to it: the platform may
// have been away when the target left.
//
// A target that leaves the ready phase is held down for a time that doubles each
// time, so that a flapping target receives little work and its changes are
// announced rarely.
//
//	mux.Handle("/announce", announcer.Handler(board.Post, time.Now, log))
package announcer

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
)

// Durations by which the phase of a target is decided.
const (
	// AnnouncementLifetime is how long an announcement is valid.
	AnnouncementLifetime = 2500 * time.Millisecond
	// minTimeSinceSuccess is how long no request may have succeeded before failed requests make a target failed.
	minTimeSinceSuccess = 500 * time.Millisecond
	// successValidity is how long a successful request outranks failed health checks.
	successValidity = 2 * time.Second
	// checkPeriod is the time between two health checks.
	checkPeriod = 2 * time.Second
	// checkTimeout is how long a health check may take before it counts as failed.
	checkTimeout = 1 * time.Second
	// minHoldDown is how long a target is held down the first time. The time doubles up to maxHoldDown.
	minHoldDown = 500 * time.Millisecond
	maxHoldDown = 10 * time.Second
	// departureReadTimeout is how long a node that has just started waits for the platform
	// to tell whether its target has left. A node that is cut off from the platform serves
	// after that time.
	departureReadTimeout = 2 * time.Second
	// stableAfter is how long a target must stay ready before its flaps are reset.
	stableAfter = 30 * time.Second
)

const (
	// requestFailureThreshold is how many consecutive failed requests make a target failed.
	requestFailureThreshold = 5
	// checkFailureThreshold is how many consecutive failed health checks make a target failed.
	checkFailureThreshold = 3
	// maxFlaps bounds the count of flaps, from which the hold-down time is computed.
	maxFlaps = 8
)

// Config configures an announcer.
type Config struct {
	// Check performs a health check of the target; nil means that there are none.
	Check func(ctx context.Context, address, path string) error
	// AnnouncementLifetime is how long an announcement is valid; 0 means the constant of the same name.
	AnnouncementLifetime time.Duration
	// DeparturesKept is true when another controller has the platform keep departures: it
	// handles TargetDeparted and posts TargetDepartureRead.
	DeparturesKept bool
	Log            *logger.Logger
	// Now returns the time for messages that effects post; nil means time.Now.
	Now func() time.Time
}

// CheckTarget is the effect of performing one health check.
type CheckTarget struct {
	Address string
	// Path is the path of the health check; empty means that of the target's contract.
	Path string
	// Deadline is when the check counts as failed.
	Deadline time.Time
}

// New returns the controller that owns the entry Target. It must come before the
// controllers that pass its decisions on to other nodes.
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
	case departed:
		post(blackboard.TargetDeparted{Recorded: e.applied})
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
	// confirm calls back that a message of the target has taken effect.
	confirm struct{ applied func() }
	// departed reports a new statement of the target that it leaves. applied may be nil.
	departed struct{ applied func() }
	// phaseChanged logs a change of the target's phase.
	phaseChanged struct {
		before blackboard.TargetPhase
		target blackboard.Target
	}
)

// rules is the part of a Config that Reduce needs.
type rules struct {
	// checksEnabled is true when health checks are made.
	checksEnabled        bool
	announcementLifetime time.Duration
	// departuresKept is true when the platform keeps departures.
	departuresKept bool
}

func (cfg Config) rules() rules {
	r := rules{checksEnabled: cfg.Check != nil, announcementLifetime: cfg.AnnouncementLifetime, departuresKept: cfg.DeparturesKept}
	if r.announcementLifetime == 0 {
		r.announcementLifetime = AnnouncementLifetime
	}
	return r
}

// Reduce handles one message. It is pure.
func Reduce(s blackboard.State, msg blackboard.Msg, r rules) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	t := s.Target
	switch m := msg.(type) {
	case blackboard.Tick:
		if r.checksEnabled {
			t, effects = startCheck(t, healthPath(&s), m.Now)
		}
		s.Target = updatePhase(awaitDeparture(t, r, m.Now), s.Lifecycle, m.Now)
	case blackboard.TargetAnnounced:
		t, departs := noteDeparture(applyAnnouncement(awaitDeparture(t, r, m.Now), m, r.announcementLifetime))
		s.Target = updatePhase(t, s.Lifecycle, m.Now)
		effects = r.confirmation(m.Applied, departs)
	case blackboard.TargetLeft:
		t, departs := noteDeparture(applyLeave(t, m))
		s.Target = updatePhase(t, s.Lifecycle, m.Now)
		effects = r.confirmation(m.Applied, departs)
	case blackboard.TargetDepartureRead:
		t = applyDeparture(t, m.Departure)
		t.DepartureRead = true
		s.Target = updatePhase(t, s.Lifecycle, m.Now)
	case blackboard.DeparturesReported:
		t, learned := learnDeparture(t, s.Self.Host, m.Departures)
		s.Target = updatePhase(t, s.Lifecycle, m.Now)
		effects = r.confirmation(nil, learned)
	case blackboard.TargetMismatched:
		s.Target = updatePhase(applyMismatch(t, m), s.Lifecycle, m.Now)
	case blackboard.TargetObserved:
		s.Target = updatePhase(recordRequest(t, m), s.Lifecycle, m.Now)
	case blackboard.TargetChecked:
		s.Target = updatePhase(recordCheck(t, m), s.Lifecycle, m.Now)
	case blackboard.StopRequested:
		s.Target = updatePhase(t, s.Lifecycle, m.Now)
	}
	return s, effects
}

// confirmation returns the effect that calls applied, or none when applied is nil. A
// new departure is confirmed by the controller that has the platform keep it.
func (r rules) confirmation(applied func(), departs bool) []blackboard.Effect {
	switch {
	case departs && r.departuresKept:
		return []blackboard.Effect{departed{applied: applied}}
	case applied == nil:
		return nil
	default:
		return []blackboard.Effect{confirm{applied: applied}}
	}
}

// healthPath returns the health check path of the target's service in the running
// configuration; empty when there is none.
func healthPath(s *blackboard.State) string {
	if s.Config.Running == nil {
		return ""
	}
	return s.Config.Running.Services[s.Target.Record.Service].HealthPath
}
