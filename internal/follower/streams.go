package follower

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/wirepb"
)

// StreamKind names the protocol of this package in a StreamOpen message.
const StreamKind = "follow"

const (
	// idleTimeout is the time without a frame from the peer after which a stream is
	// closed.
	idleTimeout  = 30 * time.Second
	writeTimeout = 3 * time.Second
	// maxPendingFrames bounds the frames that wait for a slow peer. Further frames
	// are dropped.
	maxPendingFrames = 256
	// maxFrameBytes is greater than the size of a frame with a delta of
	// maxDeltaBytes.
	maxFrameBytes = 1 << 20
)

// PeerBusyError reports that a frame was dropped because too many are waiting
// for the peer.
type PeerBusyError struct{ Address string }

func (e *PeerBusyError) Error() string { return fmt.Sprintf("send queue for %s is full", e.Address) }

// Streams exchanges frames with other nodes, in both directions over one stream
// for each peer.
type Streams struct {
	// Open opens a stream to a peer.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// Post receives the messages for frames that arrive. It must be set before
	// Serve and Send are called.
	Post blackboard.Post
	// Now returns the time. Tests replace it.
	Now func() time.Time

	mu sync.Mutex
	// peers holds the peers by address. Guarded by mu.
	peers map[string]*peer
	// readers tracks the readers of the streams that this node opened.
	readers sync.WaitGroup
}

// peer holds the stream to one node.
type peer struct {
	address      string
	pendingSends atomic.Int32
	mu           sync.Mutex
	// stream is nil if there is none. Guarded by mu.
	stream *linker.Stream
}

// NewStreams returns streams over the control sessions of a linker.
func NewStreams(l *linker.Linker) *Streams {
	return &Streams{
		Open: func(ctx context.Context, address string) (*linker.Stream, error) {
			return l.Open(ctx, address, linker.TrafficControl, StreamKind)
		},
		Now:   time.Now,
		peers: map[string]*peer{},
	}
}

func (s *Streams) peer(address string) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[address]
	if p == nil {
		p = &peer{address: address}
		s.peers[address] = p
	}
	return p
}

// Send writes a frame to a peer, on a new stream if there is none. If the write
// fails on an existing stream, it is tried once more on a new one.
func (s *Streams) Send(ctx context.Context, address string, frame *wirepb.FollowFrame) error {
	p := s.peer(address)
	if p.pendingSends.Add(1) > maxPendingFrames {
		p.pendingSends.Add(-1)
		return &PeerBusyError{Address: address}
	}
	defer p.pendingSends.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != nil && s.write(p.stream, frame) == nil {
		return nil
	}
	stream, err := s.Open(ctx, address)
	if err != nil {
		p.stream = nil
		return err
	}
	p.stream = stream
	s.readers.Go(func() { s.read(ctx, stream, address) })
	return s.write(stream, frame)
}

func (s *Streams) write(stream *linker.Stream, frame *wirepb.FollowFrame) error {
	err := stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = encoder.Write(stream, frame, maxFrameBytes)
	}
	if err != nil {
		_ = stream.Close()
	}
	return err
}

// Drop closes the stream to a peer.
func (s *Streams) Drop(address string) {
	p := s.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != nil {
		_ = p.stream.Close()
		p.stream = nil
	}
}

// Serve handles a stream that a peer opened. It is the handler for StreamKind.
func (s *Streams) Serve(ctx context.Context, stream *linker.Stream) {
	s.read(ctx, stream, "")
}

// Wait waits for the readers to end. They end with the context of Send.
func (s *Streams) Wait() { s.readers.Wait() }

// read posts the frames that arrive until the stream ends. If the peer opened
// the stream, address is empty, and later frames to the peer are sent on this
// stream unless there is another.
func (s *Streams) read(ctx context.Context, stream *linker.Stream, address string) {
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { s.closeStream(stream, address) }()
	var chunks assembler
	for {
		if stream.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		frame := &wirepb.FollowFrame{}
		if encoder.Read(stream.Reader, frame, maxFrameBytes) != nil {
			return
		}
		if address == "" {
			address = frame.GetAddress()
			s.register(stream, address)
		}
		if err := deliver(&chunks, frame, s.Now(), s.Post); err != nil {
			return
		}
	}
}

// deliver posts a frame. A chunk is posted only with the last of its snapshot,
// as a SnapshotReceived.
func deliver(chunks *assembler, frame *wirepb.FollowFrame, now time.Time, post blackboard.Post) error {
	chunk := frame.GetChunk()
	if chunk == nil {
		post(FrameReceived{Now: now, Frame: frame})
		return nil
	}
	snapshot, done, err := chunks.add(frame.GetAddress(), chunk)
	if done {
		post(snapshot)
	}
	return err
}

func (s *Streams) register(stream *linker.Stream, address string) {
	p := s.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream == nil {
		p.stream = stream
	}
}

func (s *Streams) closeStream(stream *linker.Stream, address string) {
	_ = stream.Close()
	if address == "" {
		return
	}
	p := s.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != stream {
		return
	}
	p.stream = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[address] == p {
		delete(s.peers, address)
	}
}
