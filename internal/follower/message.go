package follower

import (
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/ticketer"
)

// FrameReceived is a frame from a peer, other than a chunk of a snapshot.
type FrameReceived struct {
	Now   time.Time
	Frame *wirepb.FollowFrame
}

// SnapshotReceived is an encoded snapshot of which every chunk has arrived.
type SnapshotReceived struct {
	Address string
	Version uint64
	Digest  snapshotter.Digest
	Data    []byte
}

// SnapshotLoaded is a snapshot whose digest and content have been checked.
type SnapshotLoaded struct {
	Now      time.Time
	Snapshot *snapshotter.Snapshot
}

// LoadSource says where a snapshot was loaded from.
type LoadSource string

// The sources of snapshots.
const (
	SourceDelta    LoadSource = "delta"
	SourceSnapshot LoadSource = "whole"
	SourcePlatform LoadSource = "platform"
)

// LoadFailed reports that a version could not be loaded. Nothing of it is kept.
type LoadFailed struct {
	Now     time.Time
	Source  LoadSource
	Address string
	Version uint64
	Err     error
}

// HeadWatched is the result of a WatchHead effect. If Err is nil and the
// revision of Head equals the After of the effect, the watch ended without a
// newer head.
type HeadWatched struct {
	Now  time.Time
	Head Head
	Err  error
}

// HeadRead is the result of a ReadHead effect.
type HeadRead struct {
	Now time.Time
	// StartedAt is the time at which the read was sent.
	StartedAt time.Time
	Head      Head
	Err       error
}

// SendFrame is the effect of sending a frame to a peer.
type SendFrame struct {
	Address string
	Frame   *wirepb.FollowFrame
}

// SendUpdate is the effect of sending a version to a peer. It is sent as a
// delta if Base is set and the delta is small enough, else as a whole snapshot.
type SendUpdate struct {
	// From identifies this node as the sender.
	From    blackboard.Self
	Address string
	Base    *snapshotter.Snapshot
	Next    *snapshotter.Snapshot
}

// ApplyDelta is the effect of applying an encoded delta to the snapshot among
// Bases that it starts from.
type ApplyDelta struct {
	Address string
	Version uint64
	Data    []byte
	Bases   []*snapshotter.Snapshot
}

// DecodeSnapshot is the effect of decoding and checking a whole snapshot.
type DecodeSnapshot struct{ Received SnapshotReceived }

// WatchHead is the effect of waiting for a head with a revision greater than
// After.
type WatchHead struct{ After uint64 }

// ReadHead is the effect of reading the head once.
type ReadHead struct{}

// LoadHead is the effect of loading the snapshot of a head. Only the shards
// that differ from Have are read.
type LoadHead struct {
	Head Head
	Have *snapshotter.Snapshot
}

// WriteStatus is the effect of writing how many nodes of the data centre run
// each version.
type WriteStatus struct{ Status ticketer.DataCentreStatus }

// DropPeer is the effect of closing the connections to a silent peer.
type DropPeer struct{ Address string }

// WriteLog is the effect of writing a log event.
type WriteLog struct {
	Event  logger.Event
	Fields logger.Fields
}
