package follower

import (
	"context"
	"fmt"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// chunkBytes is the size of the chunks in which a whole snapshot is sent.
	chunkBytes = 32 << 10
	// maxDeltaBytes is the maximum size of a delta. The whole snapshot is sent in
	// place of a larger one.
	maxDeltaBytes = 512 << 10
)

// UnknownBaseError reports that a delta starts from a version that this node
// does not have.
type UnknownBaseError struct{ Version uint64 }

func (e *UnknownBaseError) Error() string {
	return fmt.Sprintf("delta has unknown base version %d", e.Version)
}

// run executes an effect.
func (f *Follower) run(ctx context.Context, effect blackboard.Effect, post blackboard.Post) {
	switch e := effect.(type) {
	case SendFrame:
		// A lost frame is compensated for by the next heartbeat, report or request.
		_ = f.Send(ctx, e.Address, e.Frame)
	case SendUpdate:
		f.sendUpdate(ctx, e)
	case ApplyDelta:
		f.applyDelta(e, post)
	case DecodeSnapshot:
		f.decodeSnapshot(e.Received, post)
	case WatchHead:
		head, err := f.Platform.Watch(ctx, e.After)
		post(HeadWatched{Now: f.Now(), Head: head, Err: err})
	case ReadHead:
		f.readHead(ctx, post)
	case LoadHead:
		f.loadHead(ctx, e, post)
	case WriteStatus:
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		// A failed write is not retried, because the next status follows after
		// statusInterval.
		_ = f.Platform.WriteStatus(ctx, e.Status)
	case DropPeer:
		f.Drop(e.Address)
	case WriteLog:
		f.Log.Write(e.Event, e.Fields)
	}
}

func (f *Follower) sendUpdate(ctx context.Context, e SendUpdate) {
	if data := encodeDelta(e); data != nil {
		frame := newFrame(e.From)
		frame.Body = &wirepb.FollowFrame_Delta{Delta: &wirepb.DeltaUpdate{
			BaseVersion: e.Base.Version, Version: e.Next.Version, Delta: data,
		}}
		_ = f.Send(ctx, e.Address, frame)
		return
	}
	for _, chunk := range encodeChunks(e.Next) {
		frame := newFrame(e.From)
		frame.Body = &wirepb.FollowFrame_Chunk{Chunk: chunk}
		if err := f.Send(ctx, e.Address, frame); err != nil {
			return
		}
	}
}

func newFrame(from blackboard.Self) *wirepb.FollowFrame {
	return &wirepb.FollowFrame{Host: from.Host, Address: from.Address, Rack: from.Rack}
}

// encodeDelta returns the delta of an update, or nil if the whole snapshot has
// to be sent.
func encodeDelta(e SendUpdate) []byte {
	if e.Base == nil {
		return nil
	}
	data := snapshotter.EncodeDelta(snapshotter.Diff(e.Base, e.Next))
	if len(data) > maxDeltaBytes {
		return nil
	}
	return data
}

// encodeChunks encodes a snapshot as chunks of at most chunkBytes.
func encodeChunks(s *snapshotter.Snapshot) []*wirepb.SnapshotChunk {
	data := snapshotter.EncodeSnapshot(s)
	digest := s.Digest()
	count := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	out := make([]*wirepb.SnapshotChunk, 0, count)
	for i := range count {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		out = append(out, &wirepb.SnapshotChunk{
			Version: s.Version, Digest: digest[:], Index: uint32(i), Count: uint32(count), Data: part,
		})
	}
	return out
}

func (f *Follower) applyDelta(e ApplyDelta, post blackboard.Post) {
	next, err := patch(e)
	if err == nil {
		err = f.Validate(next)
	}
	if err != nil {
		post(LoadFailed{Now: f.Now(), Source: SourceDelta, Address: e.Address, Version: e.Version, Err: err})
		return
	}
	post(SnapshotLoaded{Now: f.Now(), Snapshot: next})
}

func patch(e ApplyDelta) (*snapshotter.Snapshot, error) {
	d, err := snapshotter.DecodeDelta(e.Data)
	if err != nil {
		return nil, err
	}
	for _, base := range e.Bases {
		if base.Version == d.BaseVersion {
			return snapshotter.Patch(base, d)
		}
	}
	return nil, &UnknownBaseError{Version: d.BaseVersion}
}

func (f *Follower) decodeSnapshot(w SnapshotReceived, post blackboard.Post) {
	s, err := snapshotter.DecodeSnapshot(w.Data)
	if err == nil && s.Digest() != w.Digest {
		err = &snapshotter.DigestMismatchError{Subject: "snapshot", Version: w.Version, Expected: w.Digest, Actual: s.Digest()}
	}
	if err == nil {
		err = f.Validate(s)
	}
	if err != nil {
		post(LoadFailed{Now: f.Now(), Source: SourceSnapshot, Address: w.Address, Version: w.Version, Err: err})
		return
	}
	post(SnapshotLoaded{Now: f.Now(), Snapshot: s})
}

func (f *Follower) readHead(ctx context.Context, post blackboard.Post) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	began := f.Now()
	head, err := f.Platform.Read(ctx)
	post(HeadRead{Now: f.Now(), StartedAt: began, Head: head, Err: err})
}

func (f *Follower) loadHead(ctx context.Context, e LoadHead, post blackboard.Post) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	s, err := f.Platform.Load(ctx, e.Head, e.Have)
	if err == nil {
		err = f.Validate(s)
	}
	if err != nil {
		post(LoadFailed{Now: f.Now(), Source: SourcePlatform, Version: e.Head.Version, Err: err})
		return
	}
	post(SnapshotLoaded{Now: f.Now(), Snapshot: s})
}
