// Package drainer takes a node out of service without cutting a request. It
// writes the Life entry of the blackboard.
//
// The first StopRequested closes the tracker: callers and peers are refused
// with "not-run" while requests in flight finish, however long they take. A
// second one logs what an end would cut. Only a third, or a deadline that the
// operator has set, ends the node with requests in flight.
package drainer

import (
	"context"
	"fmt"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/pkg/snapshotter"
)

// stopsThatCut is how many stop requests end the node with requests in flight.
const stopsThatCut = 3

// SettleTime passes between the end of the last request and the end of the
// node: peers learn of the drain, and the last bytes of answers arrive. WithSettle
// replaces it.
const DefaultQuietPeriod = 1 * time.Second

// Counted reports the requests in flight of a draining node.
type RequestsCounted struct {
	Now   time.Time
	Total int
}

// Effects of this controller.
type (
	beginLinger   struct{}
	closeTracker  struct{ peersOnly bool }
	countRequests struct{ now time.Time }
	reportCut     struct{ final bool }
)

// Option changes a drainer.
type Option func(*drainer)

// WithCutAfter ends the node at the latest this long after the first stop
// request, also with requests in flight. Without it only a third request does.
func WithDrainTimeout(d time.Duration) Option { return func(c *drainer) { c.cutAfter = d } }

// WithLinger goes on taking callers' requests for a while after the first stop
// request, so that none is refused before callers have learned of the stop, and
// those of other nodes for the first part of it: the target still works.
func WithAcceptPeriod(callers, peers time.Duration) Option {
	return func(c *drainer) { c.linger, c.peersLinger = callers, peers }
}

// WithSettle sets what passes between the end of the last request and the end of
// the node. Its target serves nobody meanwhile.
func WithQuietPeriod(d time.Duration) Option { return func(c *drainer) { c.settle = d } }

// WithClosing is told of the first stop request.
func WithStopHook(f func()) Option { return func(c *drainer) { c.closing = f } }

type drainer struct {
	tracker *Tracker
	log     *logger.Logger
	// cutAfter is added to the time of the first stop request; 0 means never.
	cutAfter time.Duration
	// linger is added to the time of the first stop request; 0 means that callers are refused at once.
	linger time.Duration
	// peersLinger is the same for other nodes.
	peersLinger time.Duration
	// settle is added to the time of the latest request that was seen in flight.
	settle time.Duration
	// closing is nil when nobody is told.
	closing func()
}

// New returns the controller.
func New(t *Tracker, log *logger.Logger, options ...Option) blackboard.Controller {
	d := &drainer{tracker: t, log: log, settle: DefaultQuietPeriod}
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
		return d.counted(s, msg)
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
		s.Lifecycle.StopAt = now.Add(max(d.settle, d.linger))
		if d.linger > 0 {
			s.Lifecycle.AcceptCallersUntil, s.Lifecycle.AcceptPeersUntil = now.Add(d.linger), now.Add(d.peersLinger)
		}
		if d.cutAfter > 0 {
			s.Lifecycle.ForceStopAt = now.Add(d.cutAfter)
		}
		if d.linger > 0 {
			return s, []blackboard.Effect{beginLinger{}}
		}
		return s, []blackboard.Effect{beginLinger{}, closeTracker{}}
	case s.Lifecycle.StopRequests < stopsThatCut:
		return s, []blackboard.Effect{reportCut{}}
	default:
		s.Lifecycle.Phase = blackboard.LifecycleStopped
		return s, []blackboard.Effect{reportCut{final: true}}
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
		return s, []blackboard.Effect{reportCut{final: true}}
	default:
		return endLinger(s, now)
	}
}

// endLinger refuses other nodes and callers when their time has come.
func endLinger(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
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

func (d *drainer) counted(s blackboard.State, msg RequestsCounted) (blackboard.State, []blackboard.Effect) {
	if s.Lifecycle.Phase != blackboard.LifecycleDraining {
		return s, nil
	}
	s.Lifecycle.InFlight = msg.Total
	if msg.Total > 0 {
		if end := msg.Now.Add(d.settle); end.After(s.Lifecycle.StopAt) {
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
	case beginLinger:
		if d.closing != nil {
			d.closing()
		}
		d.log.Write(logger.DrainStarted, logger.Fields{Count: d.tracker.Count().Total})
	case countRequests:
		post(RequestsCounted{Now: e.now, Total: d.tracker.Count().Total})
	case reportCut:
		d.report(e.final)
	}
}

// report logs one event for each class with requests in flight.
func (d *drainer) report(final bool) {
	event := logger.DrainWouldCut
	if final {
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
