package fetcher

import (
	"context"
	"errors"
	"net"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// askPeer requests the configuration from another node: first as a delta from
// the running version, and as a whole if that fails. A node that was silent for
// askTimeout is not asked twice.
func (cfg Config) askPeer(ctx context.Context, e askPeer, post blackboard.Post) {
	s, err := cfg.requestSnapshot(ctx, e, false)
	if err != nil && e.base != nil && !isSilence(err) {
		cfg.Log.Write(logger.ConfigAskFailed, logger.Fields{Peer: e.address, Reason: "delta", Err: err})
		s, err = cfg.requestSnapshot(ctx, e, true)
	}
	if err == nil && s != nil {
		err = snapshotter.Validate(s)
	}
	if err != nil {
		cfg.Log.Write(logger.ConfigAskFailed, logger.Fields{Peer: e.address, Err: err})
	}
	if isRefusal(err) {
		cfg.Log.Write(logger.ConfigRefused, logger.Fields{Version: versionOf(s), Peer: e.address, Err: err})
		post(blackboard.ConfigRefused{Version: versionOf(s), Source: e.address, Reason: err.Error(), Now: cfg.Now()})
	}
	if err != nil || s == nil {
		post(blackboard.ConfigFetchFailed{Address: e.address, Refused: isRefusal(err), Now: cfg.Now()})
		return
	}
	post(blackboard.ConfigRead{Snapshot: s, Source: e.address, Now: cfg.Now()})
}

// isRefusal reports whether a whole configuration arrived that cannot be read or that
// breaks a rule.
func isRefusal(err error) bool {
	var malformed *snapshotter.MalformedError
	var refused *snapshotter.RefusedError
	return errors.As(err, &malformed) || errors.As(err, &refused)
}

// isSilence reports whether a request failed because no reply came in time.
func isSilence(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// requestSnapshot returns nil if the other node runs no greater version.
func (cfg Config) requestSnapshot(ctx context.Context, e askPeer, whole bool) (*snapshotter.Snapshot, error) {
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
	request := &wirepb.SnapshotRequest{Above: versionOf(e.base), Whole: whole || e.base == nil}
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

// Handler returns a stream handler that sends the running configuration.
func Handler(read func() *blackboard.State) linker.Handler {
	return func(_ context.Context, s *linker.Stream) {
		if s.SetDeadline(time.Now().Add(askTimeout)) != nil {
			return
		}
		var request wirepb.SnapshotRequest
		if err := encoder.Read(s.Reader, &request, encoder.MaxHeaderBytes); err != nil {
			return
		}
		// The other node repeats the request if the reply does not arrive.
		_ = encoder.Write(s, newReply(&read().Config, &request), maxSnapshotBytes)
	}
}

// newReply returns a delta if this node still has the version that the other
// one runs, and else the whole snapshot. The reply is empty if the other node
// already runs this version or a greater one.
func newReply(c *blackboard.Config, request *wirepb.SnapshotRequest) *wirepb.SnapshotReply {
	if versionOf(c.Running) <= request.GetAbove() {
		return &wirepb.SnapshotReply{}
	}
	for _, base := range c.Recent {
		if base.Version == request.GetAbove() && !request.GetWhole() {
			return &wirepb.SnapshotReply{Delta: snapshotter.EncodeDelta(snapshotter.Diff(base, c.Running))}
		}
	}
	return &wirepb.SnapshotReply{Snapshot: snapshotter.EncodeSnapshot(c.Running)}
}
