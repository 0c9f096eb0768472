// Package fetcher brings the configuration to a node that reads it from the
// platform itself. It owns the blackboard's entry Config where the platform
// holds the whole configuration in one object, so that no version is ever in
// pieces.
//
// Each node follows that object. A node that the platform turns away hears of
// a greater version from the nodes that it is connected to and takes it from
// one of them, so a version that one node has read reaches all that can reach
// each other. A process never goes back to a lower version.
package fetcher

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// StreamKind names the protocol by which nodes hand out the configuration.
const StreamKind = "snapshot"

const (
	// askAfter is how long a node waits for the platform to tell it of a version
	// that another node already runs.
	askAfter = 300 * time.Millisecond
	// watchers is how many nodes of a data centre ask the platform again and again.
	watchers = 2
	// shortWait and longWait bound one call of these and of the others. With askAfter,
	// the first leaves half of the two seconds within which a version is in force.
	shortWait = 700 * time.Millisecond
	longWait  = 20 * time.Second
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
		above   uint64
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
	case blackboard.ConfigAskEnded:
		s.Config.Heard = blackboard.Heard{}
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
	s.Config.Running = msg.Snapshot
	s.Config.Floor = msg.Snapshot.Version
	s.Config.Recovering = false
	if s.Config.Heard.Version <= msg.Snapshot.Version {
		s.Config.Heard = blackboard.Heard{}
	}
	return s, []blackboard.Effect{applied{version: msg.Snapshot.Version, before: before, source: msg.Source}}
}

// hear notes that a node runs a greater version. An address that is being asked is kept.
func hear(s blackboard.State, msg blackboard.NodeUpdated) blackboard.State {
	member, known := s.Members.ByHost[msg.Host]
	if !known || msg.Version <= version(s.Config.Running) || msg.Version <= s.Config.Heard.Version {
		return s
	}
	at := msg.Now.Add(askAfter)
	if s.Config.Running == nil {
		at = msg.Now
	}
	if s.Config.Heard.Version != 0 && s.Config.Heard.PullAt.Before(at) {
		at = s.Config.Heard.PullAt
	}
	s.Config.Heard = blackboard.Heard{Version: msg.Version, Address: member.Address, PullAt: at}
	return s
}

func tick(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	if !s.Config.Following {
		s.Config.Following = true
		effects = append(effects, follow{})
	}
	if heard := s.Config.Heard; heard.Version > version(s.Config.Running) && !now.Before(heard.PullAt) {
		s.Config.Heard.PullAt = now.Add(askTimeout)
		effects = append(effects, ask{address: heard.Address, above: version(s.Config.Running)})
	}
	return s, effects
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
		Kind: cfg.Kind, Client: cfg.Platform, Wait: cfg.wait,
		Changed: func(c storer.Changes, _ bool) {
			for _, o := range c.Objects {
				cfg.decode(o, post)
			}
		},
		Lost: func(err error) {
			cfg.Log.Write(logger.PlatformLost, logger.Fields{Reason: cfg.Kind, Err: err})
		},
		Regained: func() { cfg.Log.Write(logger.PlatformRegained, logger.Fields{Reason: cfg.Kind}) },
	}
	p.Run(ctx)
}

// wait is short on the first few nodes of a data centre, so that a change whose
// event is lost is found in time, and long on the others, which hear of it.
func (cfg Config) wait() time.Duration {
	if s := cfg.State(); place(s) < watchers {
		return shortWait
	}
	return longWait
}

// place is how many living nodes of the data centre stand before this one.
func place(s *blackboard.State) int {
	before := 0
	for host, m := range s.Members.ByHost {
		if m.DataCentre == s.Self.DataCentre && m.Status == blackboard.MemberAlive && host < s.Self.Host {
			before++
		}
	}
	return before
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

// ask takes the configuration from another node.
func (cfg Config) ask(ctx context.Context, e ask, post blackboard.Post) {
	s, err := cfg.request(ctx, e)
	if err == nil && s != nil {
		err = snapshotter.Validate(s)
	}
	if err != nil {
		cfg.Log.Write(logger.ConfigAskFailed, logger.Fields{Peer: e.address, Err: err})
	}
	if err != nil || s == nil {
		post(blackboard.ConfigAskEnded{Now: cfg.Now()})
		return
	}
	post(blackboard.ConfigRead{Snapshot: s, Source: e.address, Now: cfg.Now()})
}

func (cfg Config) request(ctx context.Context, e ask) (*snapshotter.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	stream, err := cfg.Open(ctx, e.address)
	if err != nil {
		return nil, err
	}
	defer stream.Abort()
	if err := stream.SetDeadline(cfg.Now().Add(askTimeout)); err != nil {
		return nil, err
	}
	if err := encoder.Write(stream, &wirepb.SnapshotRequest{Above: e.above}, encoder.MaxHeaderBytes); err != nil {
		return nil, err
	}
	var reply wirepb.SnapshotReply
	if err := encoder.Read(stream.Reader, &reply, maxSnapshotBytes); err != nil || len(reply.GetSnapshot()) == 0 {
		return nil, err
	}
	return snapshotter.DecodeSnapshot(reply.GetSnapshot())
}

// Handler hands out the configuration in force.
func Handler(read func() *blackboard.State) linker.Handler {
	return func(_ context.Context, s *linker.Stream) {
		if s.SetDeadline(time.Now().Add(askTimeout)) != nil {
			return
		}
		var request wirepb.SnapshotRequest
		if err := encoder.Read(s.Reader, &request, encoder.MaxHeaderBytes); err != nil {
			return
		}
		reply := &wirepb.SnapshotReply{}
		if running := read().Config.Running; version(running) > request.GetAbove() {
			reply.Snapshot = snapshotter.EncodeSnapshot(running)
		}
		// A reply that does not arrive is asked for again.
		_ = encoder.Write(s, reply, maxSnapshotBytes)
	}
}
