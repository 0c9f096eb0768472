// Package subscriber keeps what this node knows of the others: it owns the
// entry Members where each node has one stream to each other one. A node
// streams its own state to those that subscribe to it, at once when it changes
// and otherwise once a second, so that a change arrives within a round trip
// and silence is noticed within two seconds and a half.
//
// A subscriber tells who it is, and is told whom the other knows while it has not
// read that from the platform. So a node that restarts while the platform is away
// is found again by those that know its address, and finds the rest.
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

// StreamKind names the protocol.
const StreamKind = "node-updates"

const (
	// updateEvery is the longest time between two updates.
	updateEvery = 1 * time.Second
	// silentAfter is how long a node may send no update before it counts as silent.
	silentAfter = 2500 * time.Millisecond
	// longLost is how long a node is lost before it is tried more rarely than once a second.
	longLost = 15 * time.Second
	// mostMistaken bounds the addresses that are remembered as another node's.
	mostMistaken = 1024
)

// Config holds what a subscriber needs.
type Config struct {
	Self        blackboard.NodeRecord
	Incarnation uint64
	// Open starts a stream to another node.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// Post hands messages of the serving side to the board.
	Post blackboard.Post
	// Load returns the load of this host's target, if it has one.
	Load func() (limiter.Load, bool)
	// Loaded is told of the load of the target of a host in this data centre, within updateEvery.
	OnLoad func(host, service string, l limiter.Load)
	// Now returns the time of messages.
	Now func() time.Time
	Log *logger.Logger
}

// Subscriber is both ends of the protocol.
type Subscriber struct {
	cfg Config

	mu sync.Mutex
	// update is what this node says of itself. Guarded by mu.
	update own
	// order of update among all that were published. Guarded by mu.
	order uint64
	// changed is closed and replaced with update. Guarded by mu.
	changed chan struct{}
	// following ends the stream to each node. Guarded by mu.
	following map[string]stream
}

// stream is a subscription under way.
type stream struct {
	address string
	cancel  context.CancelFunc
}

// own is what a node says of itself.
type own struct {
	state blackboard.NodeState
	// known names the nodes that this node knows; replaced when it learns of another.
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
	return &Subscriber{cfg: cfg, changed: make(chan struct{}), following: map[string]stream{}}
}

// Effects of this controller.
type (
	// subscribe replaces the stream to a host.
	subscribe struct{ host, address string }
	// forget ends it.
	forget struct{ host string }
	// publish carries the order of the update, since effects may run in any order.
	publish struct {
		update own
		order  uint64
	}
	// report logs a change of what is believed of a node.
	report struct {
		event        logger.Event
		host, reason string
		version      uint64
	}
)

// Controller returns the controller that owns the entry Members. It stands
// after those that write Life, Config and Target, and passes their changes on.
func (b *Subscriber) Controller() blackboard.Controller {
	return blackboard.Controller{Name: "subscriber", Reduce: b.reduce, Run: b.run}
}

func (b *Subscriber) reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	switch msg := msg.(type) {
	case blackboard.NodesFound:
		s, effects = found(s, msg)
	case blackboard.NodeRemoved:
		s, effects = removed(s, msg.Host)
	case blackboard.NodeUpdated:
		s, effects = updated(s, msg)
	case blackboard.NodeLost:
		s, effects = lost(s, msg)
	}
	if state := stateOf(&s); state != s.Members.Published {
		s.Members.Published = state
		s.Members.PublishCount++
		effects = append(effects, publish{update: own{state: state, known: s.Members.Records}, order: s.Members.PublishCount})
	}
	return s, effects
}

func stateOf(s *blackboard.State) blackboard.NodeState {
	n := blackboard.NodeState{
		Draining: !s.Lifecycle.AcceptsPeers(),
		Target:   s.Target.Record, KnownNodes: len(s.Members.Records), Listed: s.Members.Listed, PlatformLost: s.Config.PlatformLost,
	}
	if s.Config.Running != nil {
		n.Version = s.Config.Running.Version
	}
	return n
}

// found adds nodes, and follows those whose address is new. A node that was lost
// for long is tried again at once when it says where it is. Others are being tried
// already: to begin anew whenever two nodes meet would never end among many.
func found(s blackboard.State, msg blackboard.NodesFound) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	if msg.Complete {
		s.Members.Listed = true
		s, effects = absent(s, msg.Nodes)
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
			members = cloned(s.Members.ByHost)
		}
		members[n.Host] = blackboard.Member{
			Host: n.Host, Address: n.Address, DataCentre: n.DataCentre, Region: n.Region, LinkMbit: n.LinkMbit,
			Status: blackboard.MemberDead, ChangedAt: msg.Now,
		}
		effects = append(effects, subscribe{host: n.Host, address: n.Address})
	}
	if members != nil {
		s.Members.ByHost = members
		s.Members.Records = records(members)
	}
	return s, effects
}

// absent forgets the lost nodes that the platform no longer names. One that lives
// may have started while the platform was away.
func absent(s blackboard.State, named []blackboard.NodeRecord) (blackboard.State, []blackboard.Effect) {
	var gone []string
	for host, m := range s.Members.ByHost {
		isNamed := slices.ContainsFunc(named, func(n blackboard.NodeRecord) bool { return n.Host == host })
		if !isNamed && m.Status != blackboard.MemberAlive {
			gone = append(gone, host)
		}
	}
	return removed(s, gone...)
}

func cloned(members map[string]blackboard.Member) map[string]blackboard.Member {
	if members == nil {
		return map[string]blackboard.Member{}
	}
	return maps.Clone(members)
}

func records(members map[string]blackboard.Member) []blackboard.NodeRecord {
	list := make([]blackboard.NodeRecord, 0, len(members))
	for _, host := range slices.Sorted(maps.Keys(members)) {
		m := members[host]
		list = append(list, blackboard.NodeRecord{
			Host: m.Host, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region, LinkMbit: m.LinkMbit,
		})
	}
	return list
}

// removed takes out those of the hosts that are known.
func removed(s blackboard.State, hosts ...string) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	var members map[string]blackboard.Member
	for _, host := range hosts {
		if _, known := s.Members.ByHost[host]; !known {
			continue
		}
		if members == nil {
			members = cloned(s.Members.ByHost)
		}
		delete(members, host)
		effects = append(effects, forget{host: host})
	}
	if members != nil {
		s.Members.ByHost, s.Members.Records = members, records(members)
	}
	return s, effects
}

// updated takes in what a node says of itself.
func updated(s blackboard.State, msg blackboard.NodeUpdated) (blackboard.State, []blackboard.Effect) {
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
	s.Members.ByHost = cloned(s.Members.ByHost)
	s.Members.ByHost[msg.Host] = next
	return s, []blackboard.Effect{report{
		event: logger.NodeChanged, host: msg.Host, reason: string(next.Target.Phase), version: msg.Version,
	}}
}

// lost keeps the node, since it may come back at its address, but sends it
// nothing. A node that was replaced by another one at its address is forgotten.
func lost(s blackboard.State, msg blackboard.NodeLost) (blackboard.State, []blackboard.Effect) {
	m, known := s.Members.ByHost[msg.Host]
	if !known || m.Address != msg.Address {
		return s, nil
	}
	if msg.HostMismatch {
		mistaken := maps.Clone(s.Members.MismatchedAddresses)
		if mistaken == nil || len(mistaken) >= mostMistaken {
			mistaken = map[string]string{}
		}
		mistaken[msg.Host] = msg.Address
		s.Members.MismatchedAddresses = mistaken
		return removed(s, msg.Host)
	}
	status := blackboard.MemberDead
	if msg.TimedOut {
		status = blackboard.MemberSuspect
	}
	if m.Status == status || m.Status == blackboard.MemberDead {
		return s, nil
	}
	m.Status, m.ChangedAt = status, msg.Now
	s.Members.ByHost = cloned(s.Members.ByHost)
	s.Members.ByHost[msg.Host] = m
	return s, []blackboard.Effect{report{event: logger.NodeGone, host: msg.Host, reason: string(status)}}
}

func (b *Subscriber) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case subscribe:
		b.follow(ctx, e, post)
	case forget:
		b.end(e.host)
	case publish:
		b.publish(e)
	case report:
		b.cfg.Log.Write(e.event, logger.Fields{Host: e.host, Reason: e.reason, Version: e.version})
	}
}

func (b *Subscriber) publish(e publish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.order < b.order {
		return
	}
	b.update, b.order = e.update, e.order
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Subscriber) own() (own, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.update, b.changed
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
