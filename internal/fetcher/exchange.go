package fetcher

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// ask takes the configuration from another node: what has changed since the one
// that runs here, or the whole of it where that does not lead to it.
func (cfg Config) ask(ctx context.Context, e ask, post blackboard.Post) {
	s, err := cfg.request(ctx, e, false)
	if err != nil && e.base != nil {
		cfg.Log.Write(logger.ConfigAskFailed, logger.Fields{Peer: e.address, Reason: "delta", Err: err})
		s, err = cfg.request(ctx, e, true)
	}
	if err == nil && s != nil {
		err = snapshotter.Validate(s)
	}
	if err != nil {
		cfg.Log.Write(logger.ConfigAskFailed, logger.Fields{Peer: e.address, Err: err})
	}
	if err != nil || s == nil {
		post(blackboard.ConfigFetchFailed{Now: cfg.Now()})
		return
	}
	post(blackboard.ConfigRead{Snapshot: s, Source: e.address, Now: cfg.Now()})
}

// request returns nil when the other node runs nothing greater.
func (cfg Config) request(ctx context.Context, e ask, whole bool) (*snapshotter.Snapshot, error) {
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
	request := &wirepb.SnapshotRequest{Above: version(e.base), Whole: whole || e.base == nil}
	if err := encoder.Write(stream, request, encoder.MaxHeaderBytes); err != nil {
		return nil, err
	}
	var reply wirepb.SnapshotReply
	if err := encoder.Read(stream.Reader, &reply, maxSnapshotBytes); err != nil {
		return nil, err
	}
	return decodeReply(&reply, e.base)
}

func decodeReply(reply *wirepb.SnapshotReply, base *snapshotter.Snapshot) (*snapshotter.Snapshot, error) {
	switch {
	case len(reply.GetSnapshot()) > 0:
		return snapshotter.DecodeSnapshot(reply.GetSnapshot())
	case len(reply.GetDelta()) > 0 && base != nil:
		d, err := snapshotter.DecodeDelta(reply.GetDelta())
		if err != nil {
			return nil, err
		}
		return snapshotter.Patch(base, d)
	default:
		return nil, nil
	}
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
		// A reply that does not arrive is asked for again.
		_ = encoder.Write(s, reply(&read().Config, &request), maxSnapshotBytes)
	}
}

// reply is a delta where this node still has the version that the other one runs.
func reply(c *blackboard.Config, request *wirepb.SnapshotRequest) *wirepb.SnapshotReply {
	if version(c.Running) <= request.GetAbove() {
		return &wirepb.SnapshotReply{}
	}
	for _, base := range c.Recent {
		if base.Version == request.GetAbove() && !request.GetWhole() {
			return &wirepb.SnapshotReply{Delta: snapshotter.EncodeDelta(snapshotter.Diff(base, c.Running))}
		}
	}
	return &wirepb.SnapshotReply{Snapshot: snapshotter.EncodeSnapshot(c.Running)}
}
