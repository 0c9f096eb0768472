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
	// idleTimeout closes a stream on which the peer sends nothing.
	idleTimeout  = 30 * time.Second
	writeTimeout = 3 * time.Second
	// framesWaiting bounds the frames that wait for one slow peer; more are lost.
	framesWaiting = 256
	// maxFrameBytes is more than the greatest delta.
	maxFrameBytes = 1 << 20
)

// PeerBusyError tells that a frame was dropped because too many wait for the peer.
type PeerBusyError struct{ Address string }

func (e *PeerBusyError) Error() string { return fmt.Sprintf("too many frames wait for %s", e.Address) }

// Streams carries frames between nodes, in both directions of one stream for each peer.
type Streams struct {
	// Open starts a stream to a peer.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// Post hands what arrives to the board. Set it before Serve and Send are used.
	Post blackboard.Post
	// Now returns the time. Tests replace it.
	Now func() time.Time

	mu sync.Mutex
	// peers by address. Guarded by mu.
	peers map[string]*peer
	// readers of the streams that this node opened.
	readers sync.WaitGroup
}

// peer is the way to one node.
type peer struct {
	address string
	waiting atomic.Int32
	mu      sync.Mutex
	// stream is nil while there is none. Guarded by mu.
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

// Send writes a frame to a peer and opens a stream if there is none. A frame
// that meets a broken stream is tried once on a new one.
func (s *Streams) Send(ctx context.Context, address string, frame *wirepb.FollowFrame) error {
	p := s.peer(address)
	if p.waiting.Add(1) > framesWaiting {
		p.waiting.Add(-1)
		return &PeerBusyError{Address: address}
	}
	defer p.waiting.Add(-1)
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

// Serve handles a stream that a peer opened. Register it under StreamKind.
func (s *Streams) Serve(ctx context.Context, stream *linker.Stream) {
	s.read(ctx, stream, "")
}

// Wait returns when the readers have ended. They end with the context of Send.
func (s *Streams) Wait() { s.readers.Wait() }

// read posts what arrives until the stream ends. A peer that opened the stream
// is answered on it.
func (s *Streams) read(ctx context.Context, stream *linker.Stream, address string) {
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { s.forget(stream, address) }()
	var parts assembler
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
			s.adopt(stream, address)
		}
		if err := deliver(&parts, frame, s.Now(), s.Post); err != nil {
			return
		}
	}
}

// deliver posts a frame, or the snapshot that it completes.
func deliver(parts *assembler, frame *wirepb.FollowFrame, now time.Time, post blackboard.Post) error {
	chunk := frame.GetChunk()
	if chunk == nil {
		post(Received{Now: now, Frame: frame})
		return nil
	}
	whole, done, err := parts.add(frame.GetAddress(), chunk)
	if done {
		post(whole)
	}
	return err
}

func (s *Streams) adopt(stream *linker.Stream, address string) {
	p := s.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream == nil {
		p.stream = stream
	}
}

func (s *Streams) forget(stream *linker.Stream, address string) {
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
