// Package fetcher brings the configuration to a node that reads it from the
// platform itself. It owns the blackboard's entry Config where the platform
// holds the whole configuration in one object, so that no version is ever in
// pieces.
//
// A few nodes of each data centre watch that object. The others hear of a
// greater version from the nodes that they are connected to and take it from
// one of them, as what has changed since the version that they run. So a
// version that one node has read reaches all that can reach each other, and
// the whole configuration crosses few links. A process never goes back to a
// lower version.
package fetcher

import (
	"context"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// StreamKind names the protocol by which nodes hand out the configuration.
const StreamKind = "snapshot"

const (
	// askAfter is how long a node that watches the platform waits to be told by it
	// of a version that another node already runs.
	askAfter = 300 * time.Millisecond
	// askFarAfter is how long a node waits for the word of a node in its own data
	// centre, so that a version crosses to each data centre few times.
	askFarAfter = 300 * time.Millisecond
	// askAgainAfter a failure the same version is asked for again.
	askAgainAfter = 500 * time.Millisecond
	// watchWait bounds one call of a node that watches. With askFarAfter, it leaves
	// half of the two seconds within which a version is in force.
	watchWait = 700 * time.Millisecond
	// askEvery is how often the other nodes ask the platform, in case they hear of
	// nothing. History is gone by then, so an answer is the whole configuration: of
	// 300 kB it is 1 kB/s, a fifth of what control may take.
	askEvery = 5 * time.Minute
	// keptVersions is how many versions a node can make deltas from: those of a few seconds of changes.
	keptVersions = 16
	// askTimeout bounds one request to another node.
	askTimeout = 1 * time.Second
	// maxSnapshotBytes is more than the platform holds in one object.
	maxSnapshotBytes = 4 << 20
)

// Config holds what a fetcher needs.
type Config struct {
	Platform storer.Client
	// Kind of the object that holds the configuration, which is the only one of its kind.
	Kind string
	// Decode reads the object's value.
	Decode func(value []byte) (*snapshotter.Snapshot, error)
	// State returns the state of the board.
	State func() *blackboard.State
	// Open starts a stream to another node.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// Now returns the time of messages.
	Now func() time.Time
	Log *logger.Logger
}

// Effects of this controller.
type (
	follow struct{}
	ask    struct {
		address string
		// base is what this node runs; nil when nothing.
		base *snapshotter.Snapshot
	}
	applied struct {
		version, before uint64
		source          string
	}
)

// New returns the controller that owns the entry Config.
func New(cfg Config) blackboard.Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return blackboard.Controller{Name: "fetcher", Reduce: Reduce, Run: cfg.run}
}

// Reduce answers one message. It is pure.
func Reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	switch msg := msg.(type) {
	case blackboard.Tick:
		return tick(s, msg.Now)
	case blackboard.ConfigRead:
		return read(s, msg)
	case blackboard.NodeUpdated:
		return hear(s, msg), nil
	case blackboard.ConfigFetchFailed:
		return askEnded(s, msg.Now), nil
	case blackboard.PlatformReachabilityChanged:
		s.Config.PlatformLost = msg.Lost
	}
	return s, nil
}

func version(s *snapshotter.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// read puts a greater version in force.
func read(s blackboard.State, msg blackboard.ConfigRead) (blackboard.State, []blackboard.Effect) {
	before := version(s.Config.Running)
	if s.Config.Running != nil && msg.Snapshot.Version <= before {
		return s, nil
	}
	if s.Config.Running != nil {
		s.Config.Recent = append(slices.Clone(s.Config.Recent), s.Config.Running)
		s.Config.Recent = s.Config.Recent[max(len(s.Config.Recent)-keptVersions, 0):]
	}
	s.Config.Running = msg.Snapshot
	s.Config.Floor = msg.Snapshot.Version
	s.Config.Recovering = false
	if s.Config.PeerVersion.Version <= msg.Snapshot.Version {
		s.Config.PeerVersion = blackboard.PeerVersion{}
	}
	return s, []blackboard.Effect{applied{version: msg.Snapshot.Version, before: before, source: msg.Source}}
}

// hear notes that a node runs a greater version. A node of the own data centre
// is asked rather than one of another.
func hear(s blackboard.State, msg blackboard.NodeUpdated) blackboard.State {
	member, known := s.Members.ByHost[msg.Host]
	heard := s.Config.PeerVersion
	if !known || msg.Version <= version(s.Config.Running) || msg.Version < heard.Version {
		return s
	}
	near := member.DataCentre == s.Self.DataCentre
	if msg.Version == heard.Version && (heard.SameDataCentre || !near) {
		return s
	}
	at := msg.Now.Add(patience(&s, near))
	if heard.Version != 0 && heard.PullAt.Before(at) {
		at = heard.PullAt
	}
	if at.Before(heard.RetryAt) {
		at = heard.RetryAt
	}
	s.Config.PeerVersion = blackboard.PeerVersion{
		Version: msg.Version, Address: member.Address, SameDataCentre: near, PullAt: at, RetryAt: heard.RetryAt,
	}
	return s
}

// patience is how long a version that a node runs may take to come by itself.
func patience(s *blackboard.State, near bool) time.Duration {
	switch {
	case s.Config.Running == nil:
		return 0
	case !near:
		return askFarAfter
	case !s.Config.PlatformLost && poller.IsWatcher(s):
		return askAfter
	default:
		return 0
	}
}

func tick(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	if !s.Config.PollerStarted {
		s.Config.PollerStarted = true
		effects = append(effects, follow{})
	}
	if heard := s.Config.PeerVersion; heard.Version > version(s.Config.Running) && !now.Before(heard.PullAt) {
		s.Config.PeerVersion.PullAt = now.Add(askTimeout)
		effects = append(effects, ask{address: heard.Address, base: s.Config.Running})
	}
	return s, effects
}

// askEnded lets any node be asked next: the one that was asked may be gone.
func askEnded(s blackboard.State, now time.Time) blackboard.State {
	if s.Config.PeerVersion.Version != 0 {
		s.Config.PeerVersion.SameDataCentre = false
		s.Config.PeerVersion.RetryAt = now.Add(askAgainAfter)
		s.Config.PeerVersion.PullAt = s.Config.PeerVersion.RetryAt
	}
	return s
}

func (cfg Config) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case follow:
		cfg.follow(ctx, post)
	case ask:
		cfg.ask(ctx, e, post)
	case applied:
		cfg.Log.Write(logger.ConfigApplied, logger.Fields{Version: e.version, Before: e.before, Peer: e.source})
	}
}

func (cfg Config) follow(ctx context.Context, post blackboard.Post) {
	p := poller.Poller{
		Kind: cfg.Kind, Client: cfg.Platform, MaxWait: watchWait, WatchPolicy: poller.WatchPolicy{State: cfg.State, PollInterval: askEvery},
		OnChange: func(c storer.Changes, _ bool) {
			for _, o := range c.Objects {
				cfg.decode(o, post)
			}
		},
		OnReachabilityChange: func(lost bool) { post(blackboard.PlatformReachabilityChanged{Lost: lost, Now: cfg.Now()}) },
		Log:                  cfg.Log,
	}
	p.Run(ctx)
}

// decode refuses a value that is not valid as a whole: the version in force stays.
func (cfg Config) decode(o storer.Object, post blackboard.Post) {
	s, err := cfg.Decode(o.Value)
	if err == nil {
		err = snapshotter.Validate(s)
	}
	if err != nil {
		cfg.Log.Write(logger.ConfigRefused, logger.Fields{Reason: o.Key, Err: err})
		return
	}
	post(blackboard.ConfigRead{Snapshot: s, Now: cfg.Now()})
}
