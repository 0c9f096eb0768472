// Package drainer shuts a node down without aborting requests. It owns the
// blackboard's entry Lifecycle.
//
// The first StopRequested starts the drain: the tracker is closed, at once or
// after the period of WithAcceptPeriod. From then on new requests from callers
// and peers are refused with "not-run" while requests in flight finish, however
// long they take. A second StopRequested logs which requests a forced stop would
// abort. Only a third, or the timeout of WithDrainTimeout, stops the node while
// requests are in flight.
package drainer

import (
	"context"
	"fmt"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/pkg/snapshotter"
)

// forceStopRequests is the number of stop requests that stops the node even with requests in flight.
const forceStopRequests = 3

// DefaultQuietPeriod is how long the node keeps running after the last request
// has finished, so that peers learn of the drain and the last bytes of responses
// arrive. WithQuietPeriod replaces it.
const DefaultQuietPeriod = 1 * time.Second

// RequestsCounted reports the number of requests in flight at a draining node.
type RequestsCounted struct {
	Now   time.Time
	Total int
}

// Effects of this controller.
type (
	// startDrain calls the stop hook and logs the start of the drain.
	startDrain struct{}
	// closeTracker refuses new requests, from all senders or from peers only.
	closeTracker struct{ peersOnly bool }
	// countRequests posts the number of requests in flight.
	countRequests struct{ now time.Time }
	// reportInFlight logs the requests in flight, which a stop would abort or, when forced, aborts.
	reportInFlight struct{ forced bool }
)

// Option configures a drainer.
type Option func(*drainer)

// WithDrainTimeout stops the node d after the first stop request at the latest,
// even with requests in flight. Without it, only a third stop request does so.
func WithDrainTimeout(d time.Duration) Option { return func(c *drainer) { c.drainTimeout = d } }

// WithAcceptPeriod keeps accepting callers' requests for a period after the first
// stop request, so that none is refused before callers have learned of the stop.
// Other nodes' requests are accepted for the first part of it, because the target
// still works.
func WithAcceptPeriod(callers, peers time.Duration) Option {
	return func(c *drainer) { c.acceptCallers, c.acceptPeers = callers, peers }
}

// WithQuietPeriod sets how long the node keeps running after the last request has
// finished. The target serves no request in this time.
func WithQuietPeriod(d time.Duration) Option { return func(c *drainer) { c.quietPeriod = d } }

// WithStopHook calls f at the first stop request.
func WithStopHook(f func()) Option { return func(c *drainer) { c.onStop = f } }

type drainer struct {
	tracker *Tracker
	log     *logger.Logger
	// drainTimeout is the time from the first stop request to the forced stop; 0 means never.
	drainTimeout time.Duration
	// acceptCallers is how long callers' requests are accepted after the first stop request; 0 means not at all.
	acceptCallers time.Duration
	// acceptPeers is the same for other nodes' requests. It has no effect while acceptCallers is 0.
	acceptPeers time.Duration
	// quietPeriod is how long the node keeps running after requests were last seen in flight.
	quietPeriod time.Duration
	// onStop is called at the first stop request; nil means none.
	onStop func()
}

// New returns the controller that owns the entry Lifecycle.
func New(t *Tracker, log *logger.Logger, options ...Option) blackboard.Controller {
	d := &drainer{tracker: t, log: log, quietPeriod: DefaultQuietPeriod}
	for _, o := range options {
		o(d)
	}
	return blackboard.Controller{Name: "drainer", Reduce: d.reduce, Run: d.run}
}

func (d *drainer) reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	switch msg := msg.(type) {
	case blackboard.StopRequested:
		return d.stopRequested(s, msg.Now)
	case blackboard.Tick:
		return d.tick(s, msg.Now)
	case RequestsCounted:
		return d.requestsCounted(s, msg)
	}
	return s, nil
}

func (d *drainer) stopRequested(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	if s.Lifecycle.Phase == blackboard.LifecycleStopped {
		return s, nil
	}
	s.Lifecycle.StopRequests++
	switch {
	case s.Lifecycle.StopRequests == 1:
		s.Lifecycle.Phase = blackboard.LifecycleDraining
		s.Lifecycle.StopAt = now.Add(max(d.quietPeriod, d.acceptCallers))
		if d.acceptCallers > 0 {
			s.Lifecycle.AcceptCallersUntil, s.Lifecycle.AcceptPeersUntil = now.Add(d.acceptCallers), now.Add(d.acceptPeers)
		}
		if d.drainTimeout > 0 {
			s.Lifecycle.ForceStopAt = now.Add(d.drainTimeout)
		}
		if d.acceptCallers > 0 {
			return s, []blackboard.Effect{startDrain{}}
		}
		return s, []blackboard.Effect{startDrain{}, closeTracker{}}
	case s.Lifecycle.StopRequests < forceStopRequests:
		return s, []blackboard.Effect{reportInFlight{}}
	default:
		s.Lifecycle.Phase = blackboard.LifecycleStopped
		return s, []blackboard.Effect{reportInFlight{forced: true}}
	}
}

func (d *drainer) tick(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	switch {
	case s.Lifecycle.Phase == blackboard.LifecycleStarting && s.Config.Running != nil:
		s.Lifecycle.Phase = blackboard.LifecycleServing
		return s, nil
	case s.Lifecycle.Phase != blackboard.LifecycleDraining:
		return s, nil
	case !s.Lifecycle.ForceStopAt.IsZero() && !now.Before(s.Lifecycle.ForceStopAt):
		s.Lifecycle.Phase = blackboard.LifecycleStopped
		return s, []blackboard.Effect{reportInFlight{forced: true}}
	default:
		return closeExpired(s, now)
	}
}

// closeExpired refuses new requests from peers and callers once their accept
// periods have ended.
func closeExpired(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	effects := []blackboard.Effect{countRequests{now: now}}
	if !s.Lifecycle.AcceptPeersUntil.IsZero() && !now.Before(s.Lifecycle.AcceptPeersUntil) {
		s.Lifecycle.AcceptPeersUntil = time.Time{}
		effects = append(effects, closeTracker{peersOnly: true})
	}
	if !s.Lifecycle.AcceptCallersUntil.IsZero() && !now.Before(s.Lifecycle.AcceptCallersUntil) {
		s.Lifecycle.AcceptCallersUntil = time.Time{}
		effects = append(effects, closeTracker{})
	}
	return s, effects
}

func (d *drainer) requestsCounted(s blackboard.State, msg RequestsCounted) (blackboard.State, []blackboard.Effect) {
	if s.Lifecycle.Phase != blackboard.LifecycleDraining {
		return s, nil
	}
	s.Lifecycle.InFlight = msg.Total
	if msg.Total > 0 {
		if end := msg.Now.Add(d.quietPeriod); end.After(s.Lifecycle.StopAt) {
			s.Lifecycle.StopAt = end
		}
		return s, nil
	}
	if !msg.Now.Before(s.Lifecycle.StopAt) {
		s.Lifecycle.Phase = blackboard.LifecycleStopped
	}
	return s, nil
}

func (d *drainer) run(_ context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case closeTracker:
		if !e.peersOnly {
			d.tracker.Close()
		}
		d.tracker.ClosePeers()
	case startDrain:
		if d.onStop != nil {
			d.onStop()
		}
		d.log.Write(logger.DrainStarted, logger.Fields{Count: d.tracker.Count().Total})
	case countRequests:
		post(RequestsCounted{Now: e.now, Total: d.tracker.Count().Total})
	case reportInFlight:
		d.reportInFlight(e.forced)
	}
}

// reportInFlight logs one event for each class that has requests in flight.
func (d *drainer) reportInFlight(forced bool) {
	event := logger.DrainWouldCut
	if forced {
		event = logger.DrainCut
	}
	c := d.tracker.Count()
	age := fmt.Sprintf("oldest began %s ago", time.Since(c.Oldest).Round(time.Second))
	if c.Total == 0 {
		d.log.Write(event, logger.Fields{Reason: "no request is in flight"})
		return
	}
	for _, class := range []snapshotter.Class{snapshotter.ClassUrgent, snapshotter.ClassShort, snapshotter.ClassBulk} {
		if n := c.ByClass[class]; n > 0 {
			d.log.Write(event, logger.Fields{Class: string(class), Count: n, Reason: age})
		}
	}
}
