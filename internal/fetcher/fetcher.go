// Package fetcher keeps the configuration of a node up to date. It is used
// where the platform holds the whole configuration in one object, so that a
// node never has a part of a version, and it owns the blackboard entry Config
// there.
//
// A few nodes of each data centre watch that object. The others learn of a
// greater version from the nodes that they are connected to, and pull it from
// one of them as a delta from the version that they run. So a version that one
// node has read reaches every node that is connected to it, directly or through
// others, and the whole configuration crosses few links. A process never goes
// back to a lower version.
//
// A node tells its data centre each time that it has read the platform. A node that hears
// of no reading for readingLifetime reads the platform itself, so that it learns of a
// version whatever nodes fall silent, and before these count as lost.
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

// StreamKind is the kind of the streams on which nodes request the
// configuration from each other.
const StreamKind = "snapshot"

const (
	// watcherAskDelay is how long a node that watches the platform waits for a
	// version that another node runs to arrive from the platform.
	watcherAskDelay = 300 * time.Millisecond
	// remoteAskDelay is how long a node waits to learn of the version from a node
	// of its own data centre before it asks one of another data centre, so that a
	// version is sent between data centres only a few times.
	remoteAskDelay = 300 * time.Millisecond
	// askRetryDelay is the time from a failed request until the version is
	// requested again.
	askRetryDelay = 500 * time.Millisecond
	// refusedRetryDelay is the same after a version that cannot be read. It would be sent
	// whole each time: 300 kB a minute is the bandwidth limit for control traffic.
	refusedRetryDelay = time.Minute
	// askNextDelay is how long a node that was asked may be silent before the next one is
	// asked as well. A node that loses power after it has announced a version stays a
	// member for seconds.
	askNextDelay = 300 * time.Millisecond
	// maxHolders bounds the nodes that are remembered to have a version.
	maxHolders = 4
	// maxWatchWait bounds one call of a node that watches. Together with
	// remoteAskDelay it leaves half of the two seconds within which a version must
	// be applied.
	maxWatchWait = 700 * time.Millisecond
	// readingLifetime is how long a reading of the platform shows that there is no newer
	// version. It is longer than the time between two readings of a node that watches.
	readingLifetime = 1 * time.Second
	// pollInterval is how often the nodes that do not watch poll the platform, in
	// case they learn of no version from other nodes. The platform has dropped the
	// history by then, so it returns the whole configuration. A configuration of
	// 300 kB costs 1 kB/s, a fifth of the bandwidth limit for control traffic.
	pollInterval = 5 * time.Minute
	// maxRecentVersions is the number of versions from which a node can make
	// deltas. It covers a few seconds of changes.
	maxRecentVersions = 16
	// askTimeout bounds one request to another node.
	askTimeout = 1 * time.Second
	// maxSnapshotBytes is greater than the size limit of an object in the platform.
	maxSnapshotBytes = 4 << 20
)

// Config holds the dependencies of the controller.
type Config struct {
	Platform storer.Client
	// Kind is the kind of the object that holds the configuration. It is the only
	// object of its kind.
	Kind string
	// Decode decodes the object's value.
	Decode func(value []byte) (*snapshotter.Snapshot, error)
	// ReadVersion returns the version that a value states which cannot be decoded, or 0;
	// nil means that it cannot be told.
	ReadVersion func(value []byte) uint64
	// State returns the current state of the blackboard.
	State func() *blackboard.State
	// Open opens a stream to another node.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// Now returns the time for messages. It defaults to time.Now.
	Now func() time.Time
	Log *logger.Logger
}

// The effects of this controller.
type (
	followPlatform struct{}
	askPeer        struct {
		address string
		// base is the snapshot that this node runs, or nil.
		base *snapshotter.Snapshot
	}
	logApplied struct {
		version, before uint64
		source          string
	}
)

// New returns the controller that owns the blackboard entry Config.
func New(cfg Config) blackboard.Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return blackboard.Controller{Name: "fetcher", Reduce: Reduce, Run: cfg.run}
}

// Reduce handles one message. It is a pure function.
func Reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	switch msg := msg.(type) {
	case blackboard.Tick:
		return handleTick(s, msg.Now)
	case blackboard.ConfigRead:
		return applyVersion(s, msg)
	case blackboard.NodeUpdated:
		return noteVersion(s, msg), nil
	case blackboard.ConfigFetchFailed:
		delay := askRetryDelay
		if msg.Refused {
			delay = refusedRetryDelay
		}
		s.Config.PeerVersion = handleFetchFailed(s.Config.PeerVersion, msg.Address, msg.Now, delay)
	case blackboard.ConfigRefused:
		s.Config.NoteRefused(blackboard.RefusedVersion{Version: msg.Version, Source: msg.Source, Reason: msg.Reason, SinceAt: msg.Now})
	case blackboard.PlatformReachabilityChanged:
		s.Config.PlatformLost = msg.Lost
	case blackboard.ConfigReadingDone:
		s.Config.Reading = noteReading(s.Config.Reading, msg, versionOf(s.Config.Running))
	}
	return s, nil
}

func versionOf(s *snapshotter.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// applyVersion applies a version that is greater than the running one.
func applyVersion(s blackboard.State, msg blackboard.ConfigRead) (blackboard.State, []blackboard.Effect) {
	before := versionOf(s.Config.Running)
	if s.Config.Running != nil && msg.Snapshot.Version <= before {
		return s, nil
	}
	if s.Config.Running != nil {
		s.Config.Recent = append(slices.Clone(s.Config.Recent), s.Config.Running)
		s.Config.Recent = s.Config.Recent[max(len(s.Config.Recent)-maxRecentVersions, 0):]
	}
	s.Config.Running = msg.Snapshot
	// A version is taken from a node that has just read it.
	s.Config.Reading.ExpiresAt = msg.Now.Add(readingLifetime)
	s.Config.Floor = msg.Snapshot.Version
	s.Config.Recovering = false
	s.Config.ForgetRefused()
	if s.Config.PeerVersion.Version <= msg.Snapshot.Version {
		s.Config.PeerVersion = blackboard.PeerVersion{}
	}
	return s, []blackboard.Effect{logApplied{version: msg.Snapshot.Version, before: before, source: msg.Source}}
}

// noteReading applies a reading of this node or another one. It says nothing of what this
// node runs if the other one runs a greater version.
func noteReading(r blackboard.ConfigReading, msg blackboard.ConfigReadingDone, running uint64) blackboard.ConfigReading {
	if running < msg.Version {
		return r
	}
	return blackboard.ConfigReading{Revision: msg.Revision, Era: msg.Era, ExpiresAt: msg.Now.Add(readingLifetime)}
}

// askDelay returns how long to wait for a version that another node runs to
// arrive by itself.
func askDelay(s *blackboard.State, sameDataCentre bool) time.Duration {
	switch {
	case s.Config.Running == nil:
		return 0
	case !sameDataCentre:
		return remoteAskDelay
	case !s.Config.PlatformLost && poller.IsWatcher(s):
		return watcherAskDelay
	default:
		return 0
	}
}

func handleTick(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	if !s.Config.PollerStarted {
		s.Config.PollerStarted = true
		effects = append(effects, followPlatform{})
	}
	if s.Config.PeerVersion.Version > versionOf(s.Config.Running) {
		var address string
		if s.Config.PeerVersion, address = nextHolder(s.Config.PeerVersion, now); address != "" {
			effects = append(effects, askPeer{address: address, base: s.Config.Running})
		}
	}
	return s, effects
}

func (cfg Config) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case followPlatform:
		cfg.followPlatform(ctx, post)
	case askPeer:
		cfg.askPeer(ctx, e, post)
	case logApplied:
		cfg.Log.Write(logger.ConfigApplied, logger.Fields{Version: e.version, PreviousVersion: e.before, Peer: e.source})
	}
}

func (cfg Config) followPlatform(ctx context.Context, post blackboard.Post) {
	p := poller.Poller{
		Kind: cfg.Kind, Client: cfg.Platform, MaxWait: maxWatchWait,
		WatchPolicy: poller.WatchPolicy{State: cfg.State, PollInterval: pollInterval, SharesReadings: true},
		OnChange: func(c storer.Changes, _ bool) {
			for _, o := range c.Objects {
				cfg.decodeObject(o, post)
			}
		},
		OnScan: func(era uint64) { post(blackboard.PlatformEraRead{Era: era, Now: cfg.Now()}) },
		OnAnswer: func(revision, era uint64) {
			post(blackboard.ConfigReadingDone{Revision: revision, Era: era, Now: cfg.Now()})
		},
		OnReachabilityChange: func(lost bool) { post(blackboard.PlatformReachabilityChanged{Lost: lost, Now: cfg.Now()}) },
		Log:                  cfg.Log,
	}
	p.Run(ctx)
}

// decodeObject decodes and validates a value. It rejects an invalid one as a
// whole, and the running version stays.
func (cfg Config) decodeObject(o storer.Object, post blackboard.Post) {
	s, err := cfg.Decode(o.Value)
	if err == nil {
		err = snapshotter.Validate(s)
	}
	if err != nil {
		version := uint64(0)
		if cfg.ReadVersion != nil {
			version = cfg.ReadVersion(o.Value)
		}
		cfg.Log.Write(logger.ConfigRefused, logger.Fields{Version: version, Reason: o.Key, Err: err})
		post(blackboard.ConfigRefused{Version: version, Reason: err.Error(), Now: cfg.Now()})
		return
	}
	post(blackboard.ConfigRead{Snapshot: s, Now: cfg.Now()})
}
