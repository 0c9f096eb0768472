package follower

import (
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/ticketer"
)

// Received is a frame from a peer, other than a part of a snapshot.
type Received struct {
	Now   time.Time
	Frame *wirepb.FollowFrame
}

// WholeReceived is an encoded snapshot of which every part has arrived.
type WholeReceived struct {
	Address string
	Version uint64
	Digest  snapshotter.Digest
	Data    []byte
}

// Loaded is a snapshot whose digest and content have been checked.
type Loaded struct {
	Now      time.Time
	Snapshot *snapshotter.Snapshot
}

// LoadSource tells where a snapshot was to come from.
type LoadSource string

// The sources of snapshots.
const (
	SourceDelta    LoadSource = "delta"
	SourceWhole    LoadSource = "whole"
	SourcePlatform LoadSource = "platform"
)

// LoadFailed tells that a version could not be loaded. Nothing of it is kept.
type LoadFailed struct {
	Now     time.Time
	Source  LoadSource
	Address string
	Version uint64
	Err     error
}

// HeadSeen answers a WatchHead effect. Without an error and with the revision
// that was watched from, the watch ended without news.
type HeadSeen struct {
	Now  time.Time
	Head Head
	Err  error
}

// HeadRead answers a ReadHead effect.
type HeadRead struct {
	Now time.Time
	// Began is when the read was sent.
	Began time.Time
	Head  Head
	Err   error
}

// Send is the effect of sending a frame.
type Send struct {
	Address string
	Frame   *wirepb.FollowFrame
}

// SendUpdate is the effect of sending a version, as a delta when Base is set.
type SendUpdate struct {
	// From is the sender.
	From    blackboard.Self
	Address string
	Base    *snapshotter.Snapshot
	Next    *snapshotter.Snapshot
}

// ApplyDelta is the effect of patching one of the bases.
type ApplyDelta struct {
	Address string
	Version uint64
	Data    []byte
	Bases   []*snapshotter.Snapshot
}

// DecodeWhole is the effect of decoding and checking a snapshot.
type DecodeWhole struct{ Whole WholeReceived }

// WatchHead is the effect of waiting for a head with a greater revision.
type WatchHead struct{ After uint64 }

// ReadHead is the effect of one read of the head.
type ReadHead struct{}

// LoadHead is the effect of reading the shards of a head that differ from Have.
type LoadHead struct {
	Head Head
	Have *snapshotter.Snapshot
}

// WriteStatus is the effect of writing the in-force counts of the data centre.
type WriteStatus struct{ Status ticketer.DataCentreStatus }

// DropPeer is the effect of closing the connections to a silent peer.
type DropPeer struct{ Address string }

// Note is the effect of writing a log event.
type Note struct {
	Event  logger.Event
	Fields logger.Fields
}
