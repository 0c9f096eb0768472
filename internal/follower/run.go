package follower

import (
	"context"
	"fmt"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// chunkBytes is the size of the parts of a snapshot on the wire.
	chunkBytes = 32 << 10
	// maxDeltaBytes is the size of a delta above which the whole is sent.
	maxDeltaBytes = 512 << 10
)

// BaseUnknownError tells that a delta leads from a snapshot that this node does not have.
type BaseUnknownError struct{ Version uint64 }

func (e *BaseUnknownError) Error() string {
	return fmt.Sprintf("delta from version %d, which this node does not have", e.Version)
}

// run carries out an effect.
func (f *Follower) run(ctx context.Context, effect blackboard.Effect, post blackboard.Post) {
	switch e := effect.(type) {
	case Send:
		// A lost frame is made good by the next heartbeat, report or question.
		_ = f.Send(ctx, e.Address, e.Frame)
	case SendUpdate:
		f.sendUpdate(ctx, e)
	case ApplyDelta:
		f.applyDelta(e, post)
	case DecodeWhole:
		f.decodeWhole(e.Whole, post)
	case WatchHead:
		head, err := f.Platform.Watch(ctx, e.After)
		post(HeadSeen{Now: f.Now(), Head: head, Err: err})
	case ReadHead:
		f.readHead(ctx, post)
	case LoadHead:
		f.loadHead(ctx, e, post)
	case WriteStatus:
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		// The counts are written again shortly.
		_ = f.Platform.WriteStatus(ctx, e.Status)
	case DropPeer:
		f.Drop(e.Address)
	case Note:
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
	for _, chunk := range split(e.Next) {
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

// encodeDelta returns nil where the whole snapshot has to be sent.
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

// split encodes a snapshot in bounded parts.
func split(s *snapshotter.Snapshot) []*wirepb.SnapshotChunk {
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
	post(Loaded{Now: f.Now(), Snapshot: next})
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
	return nil, &BaseUnknownError{Version: d.BaseVersion}
}

func (f *Follower) decodeWhole(w WholeReceived, post blackboard.Post) {
	s, err := snapshotter.DecodeSnapshot(w.Data)
	if err == nil && s.Digest() != w.Digest {
		err = &snapshotter.DigestMismatchError{Subject: "snapshot", Version: w.Version, Expected: w.Digest, Actual: s.Digest()}
	}
	if err == nil {
		err = f.Validate(s)
	}
	if err != nil {
		post(LoadFailed{Now: f.Now(), Source: SourceWhole, Address: w.Address, Version: w.Version, Err: err})
		return
	}
	post(Loaded{Now: f.Now(), Snapshot: s})
}

func (f *Follower) readHead(ctx context.Context, post blackboard.Post) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	began := f.Now()
	head, err := f.Platform.Read(ctx)
	post(HeadRead{Now: f.Now(), Began: began, Head: head, Err: err})
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
	post(Loaded{Now: f.Now(), Snapshot: s})
}
