package composer

import (
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/loader"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/meter"
	"gentianbarrow.example/internal/moderator"
	"gentianbarrow.example/internal/subscriber"
)

// newCalledRoom returns what limits the runs of this host's target that make calls.
func (n *Node) newCalledRoom(m *meter.Meter) *moderator.Room {
	cfg := moderator.Config{
		StartedAt: time.Now(),
		Slots: func() int {
			l, _ := n.executor.Load()
			return l.Slots
		},
		Apply: func(map[string]float64) {},
	}
	if n.settings.Limits.RunsThatCall == loader.RunsByCalledRoom {
		cfg.Apply = func(limits map[string]float64) { n.executor.SetCallLimits(limits) }
		cfg.Observe = func(service string, limited bool) { n.observeRunLimit(m, service, limited) }
	}
	return moderator.NewRoom(cfg)
}

func (n *Node) observeRunLimit(m *meter.Meter, service string, limited bool) {
	m.RecordRunsLimited(service, limited)
	reason := "ceased"
	if limited {
		reason = "began"
	}
	n.log.Write(logger.RunsLimited, logger.Fields{Service: service, Reason: reason})
}

// observeRunStart returns the function that is called with each request that is sent to
// the target, observeRunEnd the one that is called when it has ended.
func (n *Node) observeRunStart(m *meter.Meter) func(r *exchanger.Request) {
	return func(r *exchanger.Request) {
		m.RecordSent(r)
		n.calledRoom.RecordRunStart(time.Now(), r.ID, r.Route)
	}
}

func (n *Node) observeRunEnd(m *meter.Meter) func(r *exchanger.Request, queued, served time.Duration) {
	return func(r *exchanger.Request, queued, served time.Duration) {
		m.RecordService(r, queued, served)
		n.calledRoom.RecordRunEnd(time.Now(), r.ID, r.Route, served)
	}
}

// runCalls returns what this node has learned of the calls of its target's runs.
func (n *Node) runCalls() subscriber.RunCalls {
	calls, routes := n.calledRoom.Estimates(time.Now())
	return subscriber.RunCalls{Calls: calls, CallerRoutes: routes}
}

// recordRunCalls records what another node has learned. Only targets of the same service
// run the same requests.
func (n *Node) recordRunCalls(host, service string, r subscriber.RunCalls) {
	if service != n.settings.Target.Service {
		r.Calls = nil
	}
	n.calledRoom.RecordOthers(time.Now(), host, r.Calls, r.CallerRoutes)
}
