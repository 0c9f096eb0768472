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
	// acceptCallersPeriod is how long a stopping node accepts requests of callers. The
	// platform probes readiness once a second and needs two answers to take the node
	// out of service.
	acceptCallersPeriod = 2300 * time.Millisecond
	// acceptPeersPeriod is how long a stopping node accepts requests of other nodes. They
	// learn of the stop within a round trip; the period is this long because the
	// target is unused from its end until the node is back.
	acceptPeersPeriod = 2 * time.Second
	// quietPeriod is the time between the end of the last request and the end of the
	// drain, in which its answer arrives; directLeavePeriod follows. It is short
	// because the target is unused meanwhile.
	quietPeriod = 200 * time.Millisecond
	// drainTimeoutShare is the share of the platform's grace period after which a
	// stopping node ends although requests are in flight. What follows, that is
	// directLeavePeriod, directCloseTimeout and stopMargin, fits into the rest.
	drainTimeoutShare = 0.85
	// directCloseTimeout bounds the shutdown of the servers. They use it to send the
	// answers to requests that were cut off, and to wait for connections on which no
	// request has arrived.
	directCloseTimeout = 300 * time.Millisecond
	// announcementLifetimeIntervals is the lifetime of an announcement as a multiple
	// of the interval between announcements.
	announcementLifetimeIntervals = 4
	// directBlameAfter is how long a target must have held a request that missed its
	// deadline for this to count as a failure of the target. It is short because
	// deadlines on the users' platform are below a second.
	directBlameAfter = 300 * time.Millisecond
	// directLeavePeriod is how long a drained node on the users' platform keeps serving peers.
	directLeavePeriod = 100 * time.Millisecond
)

// adapter holds what differs between the platform APIs on the request path.
type adapter struct {
	// isDirect is set if nodes find each other and the configuration through the platform itself.
	isDirect   bool
	dialect    exchanger.Dialect
	bounds     platform.Bounds
	blameAfter time.Duration
	// closeTimeout bounds the shutdown of the servers; 0 means the default of each server.
	closeTimeout time.Duration
	order        limiter.Order
}

// newAdapter returns the adapter for the platform API of the settings. It returns an
// error of package platform if the bounds are not valid.
func newAdapter(s loader.Settings) (adapter, error) {
	if s.PlatformAPI != loader.PlatformObjects {
		return adapter{dialect: exchanger.DefaultDialect()}, nil
	}
	bounds, err := platform.ParseBounds(s.PlatformBounds)
	return adapter{isDirect: true, dialect: platform.Dialect(), bounds: bounds, blameAfter: directBlameAfter, order: limiter.OrderSoftDeadline, closeTimeout: directCloseTimeout}, err
}

// initialRate returns the state of the rate limit of a target before its first answer.
func (a adapter) initialRate() limiter.RateState {
	if a.dialect.ReadTargetReport == nil {
		return limiter.RateUnlimited
	}
	return limiter.RateUnknown
}

func (n *Node) nodeRecord() blackboard.NodeRecord {
	return blackboard.NodeRecord{
		Host: n.self.Host, Address: n.self.Address, DataCentre: n.self.DataCentre, Region: n.self.Region,
		LinkMbit: n.self.LinkMbit,
	}
}

// buildDirectBoard creates the blackboard of a node on the users' platform. The
// subscriber comes last, since it publishes what the other controllers write. The
// fetcher comes after the drainer and before the announcer, which reads the
// configuration.
func (n *Node) buildDirectBoard(a adapter) {
	store := platform.NewClient(strings.TrimPrefix(n.settings.Platform, "http://"))
	open := func(kind string) func(context.Context, string) (*linker.Stream, error) { return n.openStream(kind) }
	nodes := subscriber.New(subscriber.Config{
		Self: n.nodeRecord(), Incarnation: n.self.Incarnation, Open: open(subscriber.StreamKind),
		State: func() *blackboard.State { return n.board.Read() },
		Post:  func(m blackboard.Msg) { n.board.Post(m) }, Log: n.log,
		Load: n.targetLoad, OnLoad: n.receiver.RecordLoad, RunCalls: n.runCalls, OnRunCalls: n.recordRunCalls,
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
			drainer.WithAcceptPeriod(acceptCallersPeriod, acceptPeersPeriod),
			drainer.WithQuietPeriod(quietPeriod),
			drainer.WithDrainTimeout(time.Duration(float64(a.bounds.Grace)*drainTimeoutShare)),
			drainer.WithStopHook(n.callers.Drain)),
		fetcher.New(fetcher.Config{
			Platform: store, Kind: platform.ConfigKind, Decode: reader.DecodeConfig, ReadVersion: reader.ReadVersion,
			State: func() *blackboard.State { return n.board.Read() },
			Open:  open(fetcher.StreamKind), Log: n.log,
		}),
		announcer.New(announcer.Config{
			Check: dispatcher.CheckHealth, AnnouncementLifetime: announcementLifetimeIntervals * a.bounds.AnnounceEvery, DeparturesKept: true, Log: n.log,
		}),
		n.executor.Controller(),
		enroller.New(enroller.Config{
			Self: n.nodeRecord(), Platform: store, Log: n.log,
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

// targetLoad returns the load of the target on this host. Requests whose bodies have
// not arrived yet count as queued.
func (n *Node) targetLoad() (limiter.Load, bool) {
	l, known := n.executor.Load()
	l.Queued += n.forwarder.PendingBodies()
	return l, known
}

func (n *Node) leavePeriod() time.Duration {
	if n.settings.PlatformAPI == loader.PlatformObjects {
		return directLeavePeriod
	}
	return leavePeriod
}
