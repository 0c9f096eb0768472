package gossiper

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
)

// StreamKind is the kind of the streams on which two nodes exchange their tables.
const StreamKind = "sync"

// run executes one effect.
func (cfg Config) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case SendPacket:
		// A packet that cannot be sent counts as lost, which the protocol tolerates.
		_ = cfg.Send(ctx, e.Address, e.Data)
	case StartSync:
		cfg.sync(ctx, e, post)
	case FindPeers:
		cfg.findPeers(ctx, post)
	}
}

func (cfg Config) findPeers(ctx context.Context, post blackboard.Post) {
	addresses, err := cfg.FindPeers(ctx)
	if err != nil {
		cfg.Log.Write(logger.PeersNotFound, logger.Fields{Err: err})
	}
	post(blackboard.PeersFound{Addresses: addresses, Now: cfg.Now()})
}

// sync exchanges tables with a peer and posts the outcome.
func (cfg Config) sync(ctx context.Context, e StartSync, post blackboard.Post) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := cfg.exchange(ctx, e)
	if err != nil {
		cfg.Log.Write(logger.SyncFailed, logger.Fields{Peer: e.Address, Err: err})
		post(blackboard.SyncFailed{Now: cfg.Now()})
		return
	}
	post(blackboard.SyncReceived{Records: reply.GetMembers(), Started: true, Now: cfg.Now()})
}

func (cfg Config) exchange(ctx context.Context, e StartSync) (*wirepb.SyncReply, error) {
	stream, err := cfg.Open(ctx, e.Address)
	if err != nil {
		return nil, err
	}
	defer closeOnDone(ctx, stream)()
	if err := encoder.Write(stream, e.Request, encoder.MaxControlBytes); err != nil {
		return nil, eris.Wrap(err, "send digests")
	}
	var reply wirepb.SyncReply
	if err := encoder.Read(stream.Reader, &reply, encoder.MaxControlBytes); err != nil {
		return nil, eris.Wrap(err, "read records")
	}
	if err := CheckTable(reply.GetMembers()); err != nil {
		return nil, err
	}
	push := RecordsToPush(e.Members, &reply)
	if err := encoder.Write(stream, push, encoder.MaxControlBytes); err != nil {
		return nil, eris.Wrap(err, "send records")
	}
	return &reply, nil
}

// closeOnDone closes a stream when ctx ends or the returned function is called.
func closeOnDone(ctx context.Context, stream *linker.Stream) func() {
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	return func() {
		stop()
		_ = stream.Close()
	}
}

// CheckTable validates the number and the content of the records of an exchanged table.
func CheckTable(records []*wirepb.MemberRecord) error {
	if len(records) > MaxMembers {
		return &OversizedError{Bytes: len(records) * maxSyncRecordBytes, Limit: MaxMembers * maxSyncRecordBytes}
	}
	return CheckRecords(records)
}

// Handler returns the handler of streams of kind StreamKind. It serves up to
// maxConcurrentSyncs exchanges at once and closes the streams of any others,
// whose peers retry after syncRetryPeriod, usually with another node.
func Handler(read func() *blackboard.State, post blackboard.Post, now func() time.Time) linker.Handler {
	slots := make(chan struct{}, maxConcurrentSyncs)
	return func(ctx context.Context, stream *linker.Stream) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			return
		}
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		defer closeOnDone(ctx, stream)()
		push, err := serveSync(read(), stream)
		if err != nil {
			return
		}
		post(blackboard.SyncReceived{Records: push.GetMembers(), Now: now()})
	}
}

func serveSync(s *blackboard.State, stream *linker.Stream) (*wirepb.SyncPush, error) {
	var request wirepb.SyncRequest
	if err := encoder.Read(stream.Reader, &request, encoder.MaxHeaderBytes); err != nil {
		return nil, err
	}
	reply, err := AnswerSync(s, &request)
	if err != nil {
		return nil, err
	}
	if err := encoder.Write(stream, reply, encoder.MaxControlBytes); err != nil {
		return nil, err
	}
	var push wirepb.SyncPush
	if err := encoder.Read(stream.Reader, &push, encoder.MaxControlBytes); err != nil {
		return nil, err
	}
	return &push, CheckTable(push.GetMembers())
}
