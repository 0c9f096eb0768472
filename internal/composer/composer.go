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
	"gentianbarrow.example/internal/receiver"
	"gentianbarrow.example/internal/summarizer"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// farewellTime is how long a drained node goes on answering peers, so that its
// leave message spreads and the last bytes of answers are read.
const farewellTime = 1 * time.Second

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
	// closeTimeout bounds the end of the servers.
	closeTimeout time.Duration
	// announcements takes what the target on this host says of itself.
	announcements http.Handler
	metrics       *prometheus.Registry
}

// Listen opens the addresses of the settings and builds the node. Nothing is served before Run.
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
		self:      selfOf(settings),
		log:       log,
		listeners: opened,
		tracker:   drainer.NewTracker(),
		explainer: explainer.New(),
		metrics:   prometheus.NewRegistry(),
	}
	n.self.LinkMbit = adapter.bounds.LinkMbit
	n.closeTimeout = cmp.Or(adapter.closeTimeout, ownCloseTimeout)
	n.countTraffic()
	n.buildRequestPath(adapter)
	if settings.PlatformAPI == loader.PlatformObjects {
		n.buildDirectBoard(adapter)
	} else {
		n.buildBoard(storer.NewHTTPClient(settings.Platform))
	}
	n.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return n, nil
}

// countTraffic makes the links and counts the bytes between nodes.
func (n *Node) countTraffic() {
	t := meter.NewTraffic(n.metrics)
	n.links = linker.New(linker.WithByteCounter(t.Link, trafficOf))
	if n.listeners.packets != nil {
		n.listeners.packets.Log = n.log
		n.listeners.packets.OnPacket = t.Packet
	}
}

// trafficOf tells requests from control by the kind of stream.
func trafficOf(kind string) linker.Traffic {
	if kind == forwarder.Kind {
		return linker.TrafficRequests
	}
	return linker.TrafficControl
}

// selfOf identifies the node. A later process on the same host has a greater
// incarnation, as long as the host's clock does not go back.
func selfOf(settings loader.Settings) blackboard.Self {
	return blackboard.Self{
		Host:        settings.Host,
		DataCentre:  settings.DataCentre,
		Region:      settings.Region,
		Rack:        settings.Rack,
		Address:     cmp.Or(settings.Listen.Advertised, settings.Listen.Nodes),
		Incarnation: uint64(time.Now().UnixMicro()),
	}
}

// buildBoard makes the blackboard. The order of the controllers matters in one
// chain: the announcer stands before the gossiper, which passes on what it
// decides, and the gossiper before the summarizer, which sums it up.
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

// Run serves until the node has drained. A message on stops asks it to drain;
// further messages are counted by the drainer.
func (n *Node) Run(ctx context.Context, stops <-chan time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := newParts(ctx)
	p.start("board", n.board.Run)
	p.start("memory", func(ctx context.Context) error {
		boundMemory(ctx)
		return nil
	})
	p.start("peers", func(ctx context.Context) error { return n.links.Serve(ctx, n.listeners.nodes) })
	if n.listeners.packets != nil {
		p.start("packets", func(ctx context.Context) error {
			return n.listeners.packets.Receive(ctx, n.settings.DataCentre, n.board.Post)
		})
	}
	n.serveHTTP(p)
	p.start("life", func(ctx context.Context) error {
		n.tick(ctx, stops)
		n.leave(ctx)
		cancel()
		return nil
	})
	n.log.Write(logger.NodeStarted, logger.Fields{Peer: n.settings.Listen.Nodes})
	left, err := p.wait(n.closeTimeout+endMargin, n.closeLinks)
	switch {
	case left != "":
		n.log.Write(logger.NodeEndCut, logger.Fields{Reason: left})
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

// tick posts the time and stop requests until the node has drained or ctx ends.
func (n *Node) tick(ctx context.Context, stops <-chan time.Time) {
	ticker := time.NewTicker(blackboard.TickInterval)
	defer ticker.Stop()
	for n.board.Read().Lifecycle.Phase != blackboard.LifecycleStopped {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.board.Post(blackboard.Tick{Now: now})
		case now := <-stops:
			n.board.Post(blackboard.StopRequested{Now: now})
		}
	}
}

// leave tells peers that the node is going and gives them time to hear it.
func (n *Node) leave(ctx context.Context) {
	n.board.Post(blackboard.LeaveRequested{Now: time.Now()})
	ticker := time.NewTicker(blackboard.TickInterval)
	defer ticker.Stop()
	farewell := time.After(n.farewellTime())
	for {
		select {
		case <-ctx.Done():
			return
		case <-farewell:
			return
		case now := <-ticker.C:
			n.board.Post(blackboard.Tick{Now: now})
		}
	}
}

// inspect returns the handler of the admin address.
func (n *Node) inspect() *inspector.Inspector {
	return &inspector.Inspector{
		Read:    n.board.Read,
		Metrics: n.metrics,
		Explain: func(id string) (any, bool) { return n.explainer.Find(id) },
	}
}
