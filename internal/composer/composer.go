// Package composer builds a node from its settings: the blackboard with its
// controllers, the links to other nodes, and the servers for callers, targets
// and operators.
//
//	n, err := composer.Listen(ctx, settings, log)
//	err = n.Run(ctx, stops)
//
// Run returns when the node has drained after a stop request, or at once when
// ctx ends.
package composer

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"gentianbarrow.example/internal/acceptor"
	"gentianbarrow.example/internal/announcer"
	"gentianbarrow.example/internal/apportioner"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/internal/executor"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/follower"
	"gentianbarrow.example/internal/forwarder"
	"gentianbarrow.example/internal/gossiper"
	"gentianbarrow.example/internal/inspector"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/loader"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/meter"
	"gentianbarrow.example/internal/moderator"
	"gentianbarrow.example/internal/receiver"
	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/internal/summarizer"
	"gentianbarrow.example/internal/timekeeper"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// leavePeriod is how long a drained node keeps serving peers, so that its leave
// message spreads and peers read the remaining bytes of answers.
const leavePeriod = 1 * time.Second

// Node is one process of the system, ready to run.
type Node struct {
	settings  loader.Settings
	self      blackboard.Self
	log       *logger.Logger
	listeners listeners
	links     *linker.Linker
	streams   *follower.Streams
	board     *blackboard.Board
	tracker   *drainer.Tracker
	explainer *explainer.Ring
	executor  *executor.Executor
	forwarder *forwarder.Forwarder
	receiver  *receiver.Receiver
	callers   *acceptor.Server
	limits    *apportioner.Apportioner
	// closeTimeout bounds the shutdown of the servers.
	closeTimeout time.Duration
	// announcements handles the announcements of the target on this host.
	announcements http.Handler
	metrics       *prometheus.Registry
	// delay measures how late this process runs.
	delay *timekeeper.DelayMeter
	// guard rejects requests for which there is no processor time.
	guard *shedder.Guard
	// calledRoom limits the runs that make calls.
	calledRoom *moderator.Room
}

// Listen opens the listeners of the settings and builds the node. It accepts no
// connection before Run.
func Listen(ctx context.Context, settings loader.Settings, log *logger.Logger) (*Node, error) {
	adapter, err := newAdapter(settings)
	if err != nil {
		return nil, err
	}
	opened, err := openListeners(ctx, settings.Listen, settings.PlatformAPI)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:  settings,
		self:      newSelf(settings),
		log:       log,
		listeners: opened,
		tracker:   drainer.NewTracker(),
		explainer: explainer.New(),
		metrics:   prometheus.NewRegistry(),
		delay:     timekeeper.NewDelayMeter(timekeeper.Monotonic, timekeeper.Uptime),
	}
	n.self.LinkMbit = adapter.bounds.LinkMbit
	n.closeTimeout = cmp.Or(adapter.closeTimeout, defaultCloseTimeout)
	n.buildLinks()
	n.buildRequestPath(adapter)
	if settings.PlatformAPI == loader.PlatformObjects {
		n.buildDirectBoard(adapter)
	} else {
		n.buildBoard(storer.NewHTTPClient(settings.Platform))
	}
	n.buildLimits(adapter)
	n.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return n, nil
}

// buildLinks creates the links to other nodes and the counters of their traffic.
func (n *Node) buildLinks() {
	t := meter.NewTraffic(n.metrics)
	n.links = linker.New(linker.WithByteCounter(t.CountTransfer, classifyTraffic))
	if n.listeners.packets != nil {
		n.listeners.packets.Log = n.log
		n.listeners.packets.OnPacket = t.CountPacket
	}
}

// classifyTraffic returns the traffic class of an accepted connection by the kind
// of its first stream.
func classifyTraffic(kind string) linker.Traffic {
	if kind == forwarder.Kind {
		return linker.TrafficRequests
	}
	return linker.TrafficControl
}

// newSelf returns the identity of the node. A later process on the same host has a
// higher incarnation unless the clock of the host is set back.
func newSelf(settings loader.Settings) blackboard.Self {
	return blackboard.Self{
		Host:        settings.Host,
		DataCentre:  settings.DataCentre,
		Region:      settings.Region,
		Rack:        settings.Rack,
		Address:     cmp.Or(settings.Listen.Advertised, settings.Listen.Nodes),
		Incarnation: uint64(time.Now().UnixMicro()),
	}
}

// buildBoard creates the blackboard. The order of the controllers matters for three
// of them: the announcer comes before the gossiper, which spreads the state that
// it writes, and the gossiper before the summarizer, which aggregates that state.
func (n *Node) buildBoard(platform storer.Client) {
	n.streams = follower.NewStreams(n.links)
	state := blackboard.State{
		Self:      n.self,
		Lifecycle: blackboard.Lifecycle{Phase: blackboard.LifecycleStarting},
		Config:    follower.NewConfig(),
		Lease:     elector.NoLease(),
		Target:    blackboard.Target{Record: blackboard.TargetRecord{Phase: blackboard.TargetNone}},
	}
	n.board = blackboard.New(state, []blackboard.Controller{
		drainer.New(n.tracker, n.log, n.drainOptions()...),
		elector.New(platform, n.settings.DataCentre, elector.WithLogger(n.log)),
		follower.New(n.streams, follower.NewPlatform(platform), follower.WithLogger(n.log)),
		announcer.New(announcer.Config{Check: dispatcher.CheckHealth, Log: n.log}),
		gossiper.New(gossiper.Config{
			Seeds:     n.settings.SeedPeers,
			Send:      n.listeners.packets.Send,
			Open:      n.openStream(gossiper.StreamKind),
			FindPeers: findPeers(platform, n.settings.DataCentre),
			Log:       n.log,
		}),
		summarizer.New(summarizer.Config{
			Open:       n.openStream(summarizer.StreamKind),
			FindRelays: findRelays(platform),
			Log:        n.log,
		}),
		n.executor.Controller(),
	})
	n.announcements = announcer.Handler(n.board.Post, time.Now, n.log)
	n.streams.Post = n.board.Post
	n.links.Handle(follower.StreamKind, n.streams.Serve)
	n.links.Handle(gossiper.StreamKind, gossiper.Handler(n.board.Read, n.board.Post, time.Now))
	n.links.Handle(summarizer.StreamKind, summarizer.Handler(n.board.Read, n.board.Post))
}

func (n *Node) drainOptions() []drainer.Option {
	if n.settings.Limits.DrainSeconds == 0 {
		return nil
	}
	limit := time.Duration(n.settings.Limits.DrainSeconds) * time.Second
	return []drainer.Option{drainer.WithDrainTimeout(limit)}
}

// openStream returns a function that opens control streams of one kind.
func (n *Node) openStream(kind string) func(context.Context, string) (*linker.Stream, error) {
	return func(ctx context.Context, address string) (*linker.Stream, error) {
		return n.links.Open(ctx, address, linker.TrafficControl, kind)
	}
}

func (n *Node) service(name string) (snapshotter.Service, bool) {
	running := n.board.Read().Config.Running
	if running == nil {
		return snapshotter.Service{}, false
	}
	s, known := running.Services[name]
	return s, known
}

// Run serves until the node has drained. The first message on stops starts the
// drain; the drainer also counts further ones.
func (n *Node) Run(ctx context.Context, stops <-chan time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := newRunGroup(ctx)
	g.start("board", n.board.Run)
	g.start("delay", n.delay.Run)
	g.start("limits", n.limits.Run)
	g.start("called-room", n.calledRoom.Run)
	g.start("memory", func(ctx context.Context) error {
		limitMemory(ctx)
		return nil
	})
	g.start("peers", func(ctx context.Context) error {
		return n.links.Serve(ctx, newPatientListener(n.listeners.nodes, n.noteAcceptFailure))
	})
	if n.listeners.packets != nil {
		g.start("packets", func(ctx context.Context) error {
			return n.listeners.packets.Receive(ctx, n.settings.DataCentre, n.board.Post)
		})
	}
	n.serveHTTP(g)
	g.start("life", func(ctx context.Context) error {
		n.runTicks(ctx, stops)
		n.leave(ctx)
		cancel()
		return nil
	})
	n.log.Write(logger.NodeStarted, logger.Fields{Peer: n.settings.Listen.Nodes})
	unfinished, err := g.wait(n.closeTimeout+stopMargin, n.closeLinks)
	switch {
	case unfinished != "":
		n.log.Write(logger.NodeEndCut, logger.Fields{Reason: unfinished})
	case err == nil:
		n.log.Write(logger.NodeStopped, logger.Fields{})
	}
	return err
}

func (n *Node) closeLinks() {
	n.links.Close()
	if n.streams != nil {
		n.streams.Wait()
	}
}

// runTicks posts ticks and stop requests to the board until the node has drained or
// ctx ends.
func (n *Node) runTicks(ctx context.Context, stops <-chan time.Time) {
	ticker := time.NewTicker(blackboard.TickInterval)
	defer ticker.Stop()
	for n.board.Read().Lifecycle.Phase != blackboard.LifecycleStopped {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.board.Post(blackboard.Tick{Now: now})
			n.guard.Tick(now)
		case now := <-stops:
			n.board.Post(blackboard.StopRequested{Now: now})
		}
	}
}

// leave announces to peers that the node leaves. It keeps posting ticks during the
// leave period, so that the announcement spreads.
func (n *Node) leave(ctx context.Context) {
	n.board.Post(blackboard.LeaveRequested{Now: time.Now()})
	ticker := time.NewTicker(blackboard.TickInterval)
	defer ticker.Stop()
	timeout := time.After(n.leavePeriod())
	for {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case now := <-ticker.C:
			n.board.Post(blackboard.Tick{Now: now})
		}
	}
}

// newInspector returns the inspector that serves the admin address.
func (n *Node) newInspector() *inspector.Inspector {
	return &inspector.Inspector{
		Read:    n.board.Read,
		Metrics: n.metrics,
		Explain: func(id string) (any, bool) { return n.explainer.Find(id) },
	}
}
