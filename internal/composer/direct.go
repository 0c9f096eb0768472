package composer

import (
	"context"
	"strings"
	"time"

	"gentianbarrow.example/internal/announcer"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/enroller"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/fetcher"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/loader"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/subscriber"
	"gentianbarrow.example/platform"
)

const (
	// lingerTime is how long a stopping node takes callers' requests: the platform
	// asks once a second and needs two answers.
	lingerTime = 2300 * time.Millisecond
	// peersLinger is how long it takes requests of other nodes, which learn of its end
	// within a round trip: its target is missed from then until the node is back.
	peersLinger = 2 * time.Second
	// settleTime is what passes after the last request: its answer is on the way, and
	// directFarewell follows. Each tenth of a second is one more without the target.
	settleTime = 200 * time.Millisecond
	// cutShare of the platform's grace is when a stopping node ends with requests in
	// flight. What follows, directFarewell and directClose, fits in the rest.
	cutShare = 0.85
	// directClose is how long the servers may take to end: for answers that were cut
	// off by then to go out, and connections on which nothing has come.
	directClose = 300 * time.Millisecond
	// lapseBeats is how many announcements a target may miss.
	lapseBeats = 4
	// directBlame is how long a target must have held a request that ran into its
	// deadline to be blamed for it, where deadlines are below a second.
	directBlame = 300 * time.Millisecond
	// directFarewell is how long a node on the users' platform answers peers after its last request.
	directFarewell = 100 * time.Millisecond
)

// adapter is what differs between the platform APIs on the request path.
type adapter struct {
	// direct tells that nodes know each other and the configuration through the platform itself.
	direct  bool
	dialect exchanger.Dialect
	bounds  platform.Bounds
	blame   time.Duration
	// closeTimeout of all servers' connections; 0 means that of each server.
	closeTimeout time.Duration
	order        limiter.Order
}

// newAdapter returns an error of the package platform when the bounds are not valid.
func newAdapter(s loader.Settings) (adapter, error) {
	if s.PlatformAPI != loader.PlatformObjects {
		return adapter{dialect: exchanger.DefaultDialect()}, nil
	}
	bounds, err := platform.ParseBounds(s.PlatformBounds)
	return adapter{direct: true, dialect: platform.Dialect(), bounds: bounds, blame: directBlame, order: limiter.OrderSoftDeadline, closeTimeout: directClose}, err
}

func (n *Node) record() blackboard.NodeRecord {
	return blackboard.NodeRecord{
		Host: n.self.Host, Address: n.self.Address, DataCentre: n.self.DataCentre, Region: n.self.Region,
		LinkMbit: n.self.LinkMbit,
	}
}

// buildDirectBoard makes the blackboard of a node on the users' platform. The
// subscriber stands last and passes on what the others decide; the fetcher
// stands after the drainer and before the announcer, which reads the configuration.
func (n *Node) buildDirectBoard(a adapter) {
	store := platform.NewClient(strings.TrimPrefix(n.settings.Platform, "http://"))
	open := func(kind string) func(context.Context, string) (*linker.Stream, error) { return n.openStream(kind) }
	nodes := subscriber.New(subscriber.Config{
		Self: n.record(), Incarnation: n.self.Incarnation, Open: open(subscriber.StreamKind),
		Post: func(m blackboard.Msg) { n.board.Post(m) }, Log: n.log,
		Load: n.load, OnLoad: n.receiver.RecordLoad,
	})
	reader := platform.ConfigReader{RetryPercent: a.bounds.RetryPercent}
	state := blackboard.State{
		Self:      n.self,
		Lifecycle: blackboard.Lifecycle{Phase: blackboard.LifecycleStarting},
		Target: blackboard.Target{
			Address: n.settings.Target.Address,
			Record:  blackboard.TargetRecord{Phase: blackboard.TargetNone, Service: n.settings.Target.Service},
		},
	}
	n.board = blackboard.New(state, []blackboard.Controller{
		drainer.New(n.tracker, n.log,
			drainer.WithAcceptPeriod(lingerTime, peersLinger),
			drainer.WithQuietPeriod(settleTime),
			drainer.WithDrainTimeout(time.Duration(float64(a.bounds.Grace)*cutShare)),
			drainer.WithStopHook(n.callers.Drain)),
		fetcher.New(fetcher.Config{
			Platform: store, Kind: platform.ConfigKind, Decode: reader.DecodeConfig,
			State: func() *blackboard.State { return n.board.Read() },
			Open:  open(fetcher.StreamKind), Log: n.log,
		}),
		announcer.New(announcer.Config{
			Check: dispatcher.CheckHealth, AnnouncementLifetime: lapseBeats * a.bounds.AnnounceEvery, Log: n.log,
		}),
		n.executor.Controller(),
		enroller.New(enroller.Config{
			Self: n.record(), Platform: store, Log: n.log,
			State: func() *blackboard.State { return n.board.Read() },
		}),
		nodes.Controller(),
	})
	n.announcements = platform.Announcements(platform.AnnouncementReceiver{
		Service: n.settings.Target.Service, Address: n.settings.Target.Address,
		Post: n.board.Post, Now: time.Now,
		Refused: func(id string, err error) {
			n.log.Write(logger.AnnouncementRefused, logger.Fields{Target: id, Err: err})
		},
	})
	n.links.Handle(subscriber.StreamKind, nodes.Serve)
	n.links.Handle(fetcher.StreamKind, fetcher.Handler(n.board.Read))
}

// load returns the load of this host's target, with the requests whose bodies are awaited.
func (n *Node) load() (limiter.Load, bool) {
	l, known := n.executor.Load()
	l.Queued += n.forwarder.PendingBodies()
	return l, known
}

func (n *Node) farewellTime() time.Duration {
	if n.settings.PlatformAPI == loader.PlatformObjects {
		return directFarewell
	}
	return farewellTime
}
