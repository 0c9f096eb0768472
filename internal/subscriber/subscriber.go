// Package subscriber tracks the other nodes of the mesh over direct streams, and
// owns the blackboard's entry Members there.
//
// Within a data centre every node subscribes to every other one. A node streams
// its own state to its subscribers, at once when it changes and otherwise once a
// second, so that a change arrives within a round trip and a node that stops
// responding is detected within 2.5 seconds.
//
// The first nodes of a data centre, its observers, each keep one stream to a node
// of every other data centre. On it they receive that node's view of its own data
// centre, and pass it on to the nodes of theirs in their own streams. So the bytes
// between data centres grow with data centres and changes, not with pairs of nodes.
// Several observers use different nodes, so the loss of one on either side leaves
// other views. A node takes the newest state of each node among the views that it
// receives, and a data centre on which nobody reports counts as unreachable.
//
// A subscriber identifies itself when it opens a stream. While it has not read
// the list of nodes from the platform, the other node sends it the records of the
// nodes that it knows. So a node that restarts during a platform outage is found
// by the nodes that know its address, and learns of all others from them.
package subscriber

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
)

// StreamKind identifies the protocol to the linker.
const StreamKind = "node-updates"

const (
	// updateInterval is the longest time between two updates.
	updateInterval = 1 * time.Second
	// silenceTimeout is how long a node may send no update before it becomes suspect.
	silenceTimeout = 2500 * time.Millisecond
	// longLost is how long a node has to be lost before a report of its own address
	// starts a new stream to it. By then it may be retried less often than once a second.
	longLost = 15 * time.Second
	// maxKnownStreams bounds the streams on which this node asks for the nodes that
	// the others know. Each of them brings the same list.
	maxKnownStreams = 3
	// maxMismatched bounds the addresses that are remembered as belonging to another node.
	maxMismatched = 1024
)

// Config configures a Subscriber.
type Config struct {
	Self        blackboard.NodeRecord
	Incarnation uint64
	// Open opens a stream to another node.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// State returns the state of the board.
	State func() *blackboard.State
	// Post sends the messages of the serving side to the board.
	Post blackboard.Post
	// Load returns the load of this host's target; false when it is unknown. Nil means that it never is known.
	Load func() (limiter.Load, bool)
	// OnLoad is called with the load of another host's target each time that one in
	// this data centre sends it, every updateInterval. Nil means that loads are ignored.
	OnLoad func(host, service string, l limiter.Load)
	// RunCalls returns what this node has learned of the calls of its target's runs; nil
	// means nothing.
	RunCalls func() RunCalls
	// OnRunCalls is called with what another node of this data centre has learned, with
	// estimates only if its target is of the given service; nil means that it is ignored.
	OnRunCalls func(host, service string, calls RunCalls)
	// Now returns the time for messages; nil means time.Now.
	Now func() time.Time
	Log *logger.Logger
}

// Subscriber implements both sides of the protocol.
type Subscriber struct {
	cfg Config

	// knownStreams counts the open streams on which this node asks for known nodes.
	knownStreams atomic.Int32

	mu sync.Mutex
	// latest is the state that this node last published. Guarded by mu.
	latest publishedState
	// own, members, views and departures notify of changes of the parts of latest. Guarded by mu.
	own, members, views, departures broadcast
	// reading is the latest reading of the configuration by this node; nil before it.
	// readings notifies of the next one. Guarded by mu.
	reading  *wirepb.ConfigReading
	readings broadcast
	// streams holds the stream to each node, by host. Guarded by mu.
	streams map[string]stream
	// observations holds the function that ends the observation of each data centre. Guarded by mu.
	observations map[string]context.CancelFunc
}

// stream is an active subscription to another node.
type stream struct {
	address string
	cancel  context.CancelFunc
}

// publishedState is the state that a node publishes to its subscribers. Its maps and
// lists are replaced, never modified in place.
type publishedState struct {
	// order is the position among all published states; effects may run in any order.
	order uint64
	state blackboard.NodeState
	// known holds the records of the nodes that this node knows.
	known []blackboard.NodeRecord
	// members holds the members, for subscribers in other data centres.
	members map[string]blackboard.Member
	// views holds the views, of which those of this node's own observation are passed on.
	views map[blackboard.ViewKey]blackboard.View
	// departures holds the statements of targets that they leave, by host.
	departures map[string]blackboard.HostDeparture
	// memberChanges, viewChanges and departureChanges tell whether these parts have changed.
	memberChanges, viewChanges, departureChanges uint64
}

// broadcast wakes all waiters at once.
type broadcast struct{ ch chan struct{} }

func (b *broadcast) wait() <-chan struct{} { return b.ch }

func (b *broadcast) notify() {
	close(b.ch)
	b.ch = make(chan struct{})
}

func newBroadcast() broadcast { return broadcast{ch: make(chan struct{})} }

// New returns a subscriber. Register Serve with the linker under StreamKind.
func New(cfg Config) *Subscriber {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Load == nil {
		cfg.Load = func() (limiter.Load, bool) { return limiter.Load{}, false }
	}
	if cfg.RunCalls == nil {
		cfg.RunCalls = func() RunCalls { return RunCalls{} }
	}
	if cfg.OnRunCalls == nil {
		cfg.OnRunCalls = func(string, string, RunCalls) {}
	}
	if cfg.OnLoad == nil {
		cfg.OnLoad = func(string, string, limiter.Load) {}
	}
	return &Subscriber{
		cfg: cfg, own: newBroadcast(), members: newBroadcast(), views: newBroadcast(), departures: newBroadcast(), readings: newBroadcast(),
		streams: map[string]stream{}, observations: map[string]context.CancelFunc{},
	}
}

// Effects of this controller.
type (
	// subscribe opens a stream to a host and ends an earlier one.
	subscribe struct{ host, address string }
	// unsubscribe ends the stream to a host.
	unsubscribe struct{ host string }
	// observe keeps a view of another data centre up to date.
	observe struct{ dataCentre string }
	// unobserve ends an observation.
	unobserve struct{ dataCentre string }
	// publish publishes this node's state.
	publish struct{ update publishedState }
	// tellReading tells the nodes of this data centre that this node has read the
	// configuration from the platform.
	tellReading struct{ reading *wirepb.ConfigReading }
	// report logs a change of a node's state.
	report struct {
		event        logger.Event
		host, reason string
		version      uint64
	}
)

// Controller returns the controller that owns the entry Members. It must come
// after the controllers that write Lifecycle, Config and Target, because it
// publishes their changes.
func (sub *Subscriber) Controller() blackboard.Controller {
	return blackboard.Controller{Name: "subscriber", Reduce: sub.reduce, Run: sub.run}
}

func (sub *Subscriber) reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	before := s.Members
	switch msg := msg.(type) {
	case blackboard.Tick:
		s, effects = expireViews(s, msg.Now)
		var chosen []blackboard.Effect
		s, chosen = chooseObservations(s, msg.Now)
		effects = append(effects, chosen...)
	case blackboard.NodesFound:
		s, effects = addNodes(s, msg)
		if msg.Complete {
			s = forgetUnlisted(s, msg.Nodes)
		}
	case blackboard.NodeRemoved:
		s, effects = removeNodes(s, msg.Now, msg.Host)
		s = forgetDepartures(s, func(host string) bool { return host == msg.Host })
	case blackboard.DeparturesReported:
		s = noteDepartures(s, msg.Departures...)
	case blackboard.ConfigReadingDone:
		effects = ownReading(&s, msg)
	case blackboard.NodeUpdated:
		s, effects = updateNode(s, msg)
	case blackboard.NodeLost:
		s, effects = loseNode(s, msg)
		s = doubtDeparture(s, msg.Host)
	case blackboard.ViewChanged:
		s, effects = changeView(s, msg)
	case blackboard.ViewInterrupted:
		s = interruptView(s, msg)
	}
	s = noteDepartures(s, ownDeparture(&s))
	state := nodeState(&s)
	if state != s.Members.Published || s.Members.Changes != before.Changes || s.Members.ViewChanges != before.ViewChanges ||
		s.Members.DepartureChanges != before.DepartureChanges {
		s.Members.Published = state
		s.Members.PublishCount++
		effects = append(effects, publish{update: publishedState{
			order: s.Members.PublishCount, state: state, known: s.Members.Records, members: s.Members.ByHost, views: s.Members.Views,
			departures:    s.Members.Departures,
			memberChanges: s.Members.Changes, viewChanges: s.Members.ViewChanges, departureChanges: s.Members.DepartureChanges,
		}})
	}
	return s, effects
}

func nodeState(s *blackboard.State) blackboard.NodeState {
	n := blackboard.NodeState{
		Draining: !s.Lifecycle.AcceptsPeers(),
		Target:   s.Target.Record, KnownNodes: len(s.Members.Records), Listed: s.Members.Listed, PlatformLost: s.Config.PlatformLost,
		PlatformEra: s.Enrolment.Era,
	}
	if s.Config.Running != nil {
		n.Version = s.Config.Running.Version
	}
	return n
}

func (sub *Subscriber) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case subscribe:
		sub.maintainStream(ctx, e, post)
	case unsubscribe:
		sub.endStream(e.host)
	case observe:
		sub.observe(ctx, e.dataCentre, post)
	case unobserve:
		sub.endObservation(e.dataCentre)
	case publish:
		sub.publish(e)
	case tellReading:
		sub.tellReading(e.reading)
	case report:
		sub.cfg.Log.Write(e.event, logger.Fields{Host: e.host, Reason: e.reason, Version: e.version})
	}
}

func (sub *Subscriber) publish(e publish) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	before := sub.latest
	if e.update.order < before.order {
		return
	}
	sub.latest = e.update
	if e.update.state != before.state {
		sub.own.notify()
	}
	if e.update.memberChanges != before.memberChanges {
		sub.members.notify()
	}
	if e.update.viewChanges != before.viewChanges {
		sub.views.notify()
	}
	if e.update.departureChanges != before.departureChanges {
		sub.departures.notify()
	}
}

// currentDepartures returns the latest published state, and a channel that is closed when
// its departures change.
func (sub *Subscriber) currentDepartures() (latest publishedState, changed <-chan struct{}) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.latest, sub.departures.wait()
}

// current returns the latest published state, and channels that are closed when this
// node's own state and a part of the rest change: the members if membersWanted, else
// the views.
func (sub *Subscriber) current(membersWanted bool) (latest publishedState, own, rest <-chan struct{}) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if membersWanted {
		return sub.latest, sub.own.wait(), sub.members.wait()
	}
	return sub.latest, sub.own.wait(), sub.views.wait()
}
