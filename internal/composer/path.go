package composer

import (
	"fmt"
	"runtime/debug"
	"time"

	"gentianbarrow.example/internal/acceptor"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/executor"
	"gentianbarrow.example/internal/forwarder"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/meter"
	"gentianbarrow.example/internal/pacer"
	"gentianbarrow.example/internal/receiver"
	"gentianbarrow.example/internal/timekeeper"
	"gentianbarrow.example/pkg/snapshotter"
)

// buildRequestPath creates the components that handle requests of callers. They read
// the board, which is created after them, only when they run.
func (n *Node) buildRequestPath(a adapter) {
	m := meter.New(n.metrics, func() int { return n.tracker.Count().Total }, n.delay.Delay)
	meter.RegisterConfig(n.metrics, func() *blackboard.Config { return &n.board.Read().Config })
	link := pacer.New(a.bounds.LinkMbit)
	m.WatchLink(n.metrics, link.Queue)
	o := &observer{post: func(msg blackboard.Msg) { n.board.Post(msg) }, now: time.Now}
	n.guard = n.newGuard()
	n.calledRoom = n.newCalledRoom(m)
	executorConfig := executor.Config{
		Host:             n.settings.Host,
		Target:           func() blackboard.Target { return n.board.Read().Target },
		Service:          n.service,
		Client:           dispatcher.NewHTTP(dispatcher.WithDialect(a.dialect)),
		Observe:          n.observeRunEnd(m),
		ObserveSent:      n.observeRunStart(m),
		ObserveBroken:    m.RecordBrokenAnswer,
		ObserveRateLimit: m.RecordRateLimit,
		ObserveShortage:  m.RecordShortage,
		ReportHealth:     o.observe,
		Lateness:         n.delay.StandingDelay,
		Calls:            n.calledRoom.Calls,
		DeeperWait:       n.calledRoom.WaitPerRun,
		Log:              n.log,
		ReportWrongTarget: func(id string) {
			n.board.Post(blackboard.TargetMismatched{ID: id, Now: time.Now()})
		},
		ReportLeaving: func(t blackboard.Target) {
			n.board.Post(blackboard.TargetLeft{ID: t.ID, Started: t.Started, Now: time.Now()})
		},
		InitialRate: a.initialRate(),
		FixedSlots:  a.isDirect, NoRamp: a.isDirect, BlameAfter: a.blameAfter, Order: a.order,
	}
	if link != nil {
		executorConfig.LinkQueue = link.Queue
	}
	n.executor = executor.New(executorConfig)
	n.forwarder = forwarder.New(forwarder.Config{
		Open:     n.links.OpenWith,
		Execute:  n.executor.Execute,
		Refuse:   n.executor.Refuse,
		Precheck: n.executor.Precheck,
		Tracker:  n.tracker,
		// Peers detect by the incarnation that a node has restarted since it reported its load.
		Incarnation: n.self.Incarnation,
		Clock:       timekeeper.Uptime,
		Delay:       n.delay.MeanDelay,
		Guard:       n.guard,
		ObserveAge:  func(age time.Duration) { m.RecordUnread(meter.OriginNode, age) },
		Link:        link,
		Log:         n.log,
	})
	n.links.Handle(forwarder.Kind, n.forwarder.Handle)
	n.receiver = receiver.New(receiver.Config{
		State:        func() *blackboard.State { return n.board.Read() },
		Match:        snapshotter.Match,
		Execute:      n.executor.Execute,
		Forward:      n.forwarder.Forward,
		TakeToken:    n.takeToken,
		ReturnToken:  n.returnToken,
		OriginOf:     n.calledRoom.Arrive,
		RecordCall:   n.calledRoom.RecordCall,
		Delay:        n.delay.MeanDelay,
		Guard:        n.guard,
		Tracker:      n.tracker,
		Explanations: n.explainer,
		Link:         link,
		Meter:        m,
		Log:          n.log,

		Dialect: a.dialect, CallerService: n.settings.Target.Service, RetryBurst: a.bounds.RetryBurst,
	})
	n.callers = n.newCallerServer(a)
}

// newCallerServer returns the server for callers.
func (n *Node) newCallerServer(a adapter) *acceptor.Server {
	return &acceptor.Server{
		Handler: n.receiver, MaxHeaderBytes: n.settings.Limits.HeaderBytes, CloseTimeout: a.closeTimeout,
		Delay:  n.delay.Delay,
		Limits: func() acceptor.Limits { return callerLimits(n.board.Read().Config.Running) },
		OnPanic: func(value any) {
			n.log.Write(logger.RequestPanicked, logger.Fields{Reason: fmt.Sprint(value), Stack: string(debug.Stack())})
		},
	}
}

// callerLimits returns the limits for callers in the running configuration.
func callerLimits(running *snapshotter.Snapshot) acceptor.Limits {
	if running == nil {
		return acceptor.Limits{}
	}
	c := running.CallerLimits
	return acceptor.Limits{
		MaxHeaderBytes: c.HeaderBytes,
		HeaderTimeout:  time.Duration(c.HeaderTimeoutMs) * time.Millisecond,
		IdleTimeout:    time.Duration(c.IdleTimeoutMs) * time.Millisecond,
	}
}
