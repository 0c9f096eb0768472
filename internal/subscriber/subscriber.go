// Package subscriber tracks the other nodes of the mesh over direct streams. It
// owns the blackboard's entry Members where every node subscribes to every other
// one. A node streams its own state to its subscribers, at once when it changes
// and otherwise once a second, so that a change arrives within a round trip and
// a node that stops responding is detected within 2.5 seconds.
//
// A subscriber identifies itself when it opens a stream. While it has not read
// the list of nodes from the platform, the other node sends it the records of the
// nodes that it knows. So a node that restarts during a platform outage is found
// by the nodes that know its address, and learns of all others from them.
package subscriber

import (
	"context"
	"maps"
	"slices"
	"sync"
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
	// maxMismatched bounds the addresses that are remembered as belonging to another node.
	maxMismatched = 1024
)

// Config configures a Subscriber.
type Config struct {
	Self        blackboard.NodeRecord
	Incarnation uint64
	// Open opens a stream to another node.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// Post sends the messages of the serving side to the board.
	Post blackboard.Post
	// Load returns the load of this host's target; false when it is unknown. Nil means that it never is known.
	Load func() (limiter.Load, bool)
	// OnLoad is called with the load of another host's target each time that one in
	// this data centre sends it, every updateInterval. Nil means that loads are ignored.
	OnLoad func(host, service string, l limiter.Load)
	// Now returns the time for messages; nil means time.Now.
	Now func() time.Time
	Log *logger.Logger
}

// Subscriber implements both sides of the protocol.
type Subscriber struct {
	cfg Config

	mu sync.Mutex
	// latest is the state that this node last published. Guarded by mu.
	latest publishedState
	// order is the position of latest among all published states. Guarded by mu.
	order uint64
	// changed is closed and replaced whenever latest is replaced. Guarded by mu.
	changed chan struct{}
	// streams holds the stream to each node, by host. Guarded by mu.
	streams map[string]stream
}

// stream is an active subscription to another node.
type stream struct {
	address string
	cancel  context.CancelFunc
}

// publishedState is the state that a node publishes to its subscribers.
type publishedState struct {
	state blackboard.NodeState
	// known holds the records of the nodes that this node knows. It is replaced, never modified in place.
	known []blackboard.NodeRecord
}

// New returns a subscriber. Register Serve with the linker under StreamKind.
func New(cfg Config) *Subscriber {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Load == nil {
		cfg.Load = func() (limiter.Load, bool) { return limiter.Load{}, false }
	}
	if cfg.OnLoad == nil {
		cfg.OnLoad = func(string, string, limiter.Load) {}
	}
	return &Subscriber{cfg: cfg, changed: make(chan struct{}), streams: map[string]stream{}}
}

// Effects of this controller.
type (
	// subscribe opens a stream to a host and ends an earlier one.
	subscribe struct{ host, address string }
	// unsubscribe ends the stream to a host.
	unsubscribe struct{ host string }
	// publish publishes this node's state. Effects may run in any order, so it carries
	// the order of the state.
	publish struct {
		update publishedState
		order  uint64
	}
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
	switch msg := msg.(type) {
	case blackboard.NodesFound:
		s, effects = addNodes(s, msg)
	case blackboard.NodeRemoved:
		s, effects = removeNodes(s, msg.Host)
	case blackboard.NodeUpdated:
		s, effects = updateNode(s, msg)
	case blackboard.NodeLost:
		s, effects = loseNode(s, msg)
	}
	if state := nodeState(&s); state != s.Members.Published {
		s.Members.Published = state
		s.Members.PublishCount++
		effects = append(effects, publish{update: publishedState{state: state, known: s.Members.Records}, order: s.Members.PublishCount})
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

// addNodes adds the nodes that were found and subscribes to those whose address
// is new. A node that was lost for long is retried at once when it reports its own
// address. A node lost more recently is being retried anyway: if each report
// started a new stream, nodes that start together would restart each other's
// streams endlessly.
func addNodes(s blackboard.State, msg blackboard.NodesFound) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	if msg.Complete {
		s.Members.Listed = s.Members.Listed || len(msg.Nodes) > 0
		s, effects = removeUnlisted(s, msg.Nodes)
	}
	var members map[string]blackboard.Member
	for _, n := range msg.Nodes {
		old, known := s.Members.ByHost[n.Host]
		if n.Host == s.Self.Host || n.Address == s.Self.Address {
			continue
		}
		if known && old.Address == n.Address {
			if msg.SelfReported && old.Status == blackboard.MemberDead && msg.Now.Sub(old.ChangedAt) >= longLost {
				effects = append(effects, subscribe{host: n.Host, address: n.Address})
			}
			continue
		}
		if s.Members.MismatchedAddresses[n.Host] == n.Address && !msg.SelfReported {
			continue
		}
		if members == nil {
			members = cloneMembers(s.Members.ByHost)
		}
		members[n.Host] = blackboard.Member{
			Host: n.Host, Address: n.Address, DataCentre: n.DataCentre, Region: n.Region, LinkMbit: n.LinkMbit,
			Status: blackboard.MemberDead, ChangedAt: msg.Now,
		}
		effects = append(effects, subscribe{host: n.Host, address: n.Address})
	}
	if members != nil {
		s.Members.ByHost = members
		s.Members.Records = recordsOf(members)
	}
	return s, effects
}

// removeUnlisted removes the nodes that the platform no longer lists, unless they
// are alive: a live one may have started during a platform outage.
func removeUnlisted(s blackboard.State, listed []blackboard.NodeRecord) (blackboard.State, []blackboard.Effect) {
	var unlisted []string
	for host, m := range s.Members.ByHost {
		isListed := slices.ContainsFunc(listed, func(n blackboard.NodeRecord) bool { return n.Host == host })
		if !isListed && m.Status != blackboard.MemberAlive {
			unlisted = append(unlisted, host)
		}
	}
	return removeNodes(s, unlisted...)
}

func cloneMembers(members map[string]blackboard.Member) map[string]blackboard.Member {
	if members == nil {
		return map[string]blackboard.Member{}
	}
	return maps.Clone(members)
}

func recordsOf(members map[string]blackboard.Member) []blackboard.NodeRecord {
	list := make([]blackboard.NodeRecord, 0, len(members))
	for _, host := range slices.Sorted(maps.Keys(members)) {
		m := members[host]
		list = append(list, blackboard.NodeRecord{
			Host: m.Host, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region, LinkMbit: m.LinkMbit,
		})
	}
	return list
}

// removeNodes removes those of the hosts that are members.
func removeNodes(s blackboard.State, hosts ...string) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	var members map[string]blackboard.Member
	for _, host := range hosts {
		if _, known := s.Members.ByHost[host]; !known {
			continue
		}
		if members == nil {
			members = cloneMembers(s.Members.ByHost)
		}
		delete(members, host)
		effects = append(effects, unsubscribe{host: host})
	}
	if members != nil {
		s.Members.ByHost, s.Members.Records = members, recordsOf(members)
	}
	return s, effects
}

// updateNode applies a node's report of its own state.
func updateNode(s blackboard.State, msg blackboard.NodeUpdated) (blackboard.State, []blackboard.Effect) {
	m, known := s.Members.ByHost[msg.Host]
	if !known {
		return s, nil
	}
	next := m
	next.Status, next.Incarnation, next.Target = blackboard.MemberAlive, msg.Incarnation, msg.Target
	next.PlatformLost = msg.PlatformLost
	if msg.Draining {
		next.Target.Phase = blackboard.TargetDraining
	}
	if next == m {
		return s, nil
	}
	next.ChangedAt = msg.Now
	s.Members.ByHost = cloneMembers(s.Members.ByHost)
	s.Members.ByHost[msg.Host] = next
	return s, []blackboard.Effect{report{
		event: logger.NodeChanged, host: msg.Host, reason: string(next.Target.Phase), version: msg.Version,
	}}
}

// loseNode marks a node as suspect or dead, so that it receives no requests. The
// node stays a member, since it may return at its address, unless another node
// answered there.
func loseNode(s blackboard.State, msg blackboard.NodeLost) (blackboard.State, []blackboard.Effect) {
	m, known := s.Members.ByHost[msg.Host]
	if !known || m.Address != msg.Address {
		return s, nil
	}
	if msg.HostMismatch {
		mismatched := maps.Clone(s.Members.MismatchedAddresses)
		if mismatched == nil || len(mismatched) >= maxMismatched {
			mismatched = map[string]string{}
		}
		mismatched[msg.Host] = msg.Address
		s.Members.MismatchedAddresses = mismatched
		return removeNodes(s, msg.Host)
	}
	status := blackboard.MemberDead
	if msg.TimedOut {
		status = blackboard.MemberSuspect
	}
	if m.Status == status || m.Status == blackboard.MemberDead {
		return s, nil
	}
	m.Status, m.ChangedAt = status, msg.Now
	s.Members.ByHost = cloneMembers(s.Members.ByHost)
	s.Members.ByHost[msg.Host] = m
	return s, []blackboard.Effect{report{event: logger.NodeGone, host: msg.Host, reason: string(status)}}
}

func (sub *Subscriber) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case subscribe:
		sub.maintainStream(ctx, e, post)
	case unsubscribe:
		sub.endStream(e.host)
	case publish:
		sub.publish(e)
	case report:
		sub.cfg.Log.Write(e.event, logger.Fields{Host: e.host, Reason: e.reason, Version: e.version})
	}
}

func (sub *Subscriber) publish(e publish) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if e.order < sub.order {
		return
	}
	sub.latest, sub.order = e.update, e.order
	close(sub.changed)
	sub.changed = make(chan struct{})
}

func (sub *Subscriber) current() (publishedState, <-chan struct{}) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.latest, sub.changed
}

func encodeRecord(n blackboard.NodeRecord) *wirepb.NodeRecord {
	return &wirepb.NodeRecord{Host: n.Host, Address: n.Address, DataCentre: n.DataCentre, Region: n.Region, LinkMbit: uint32(n.LinkMbit)}
}

func decodeRecords(list []*wirepb.NodeRecord) []blackboard.NodeRecord {
	out := make([]blackboard.NodeRecord, 0, len(list))
	for _, n := range list {
		if n.GetHost() == "" || n.GetAddress() == "" {
			continue
		}
		out = append(out, blackboard.NodeRecord{
			Host: n.GetHost(), Address: n.GetAddress(), DataCentre: n.GetDataCentre(), Region: n.GetRegion(),
			LinkMbit: int(n.GetLinkMbit()),
		})
	}
	return out
}
