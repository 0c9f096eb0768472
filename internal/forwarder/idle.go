package forwarder

import (
	"sync"
	"time"

	"gentianbarrow.example/internal/linker"
)

const (
	// idleTimeout is how long an idle stream is kept for its next exchange. It is
	// much shorter than serverIdleTimeout, so that no request is sent on a stream
	// that its peer is about to close.
	idleTimeout       = 3 * time.Second
	serverIdleTimeout = 30 * time.Second
	// maxIdleBufferBytes is the length of an answer's body up to which an idle stream keeps its buffers.
	maxIdleBufferBytes = 16 << 10
	// maxIdleStreams is the maximum number of idle streams to one peer.
	maxIdleStreams = 16
)

// idleStreams holds streams whose last exchange has ended cleanly, by the
// address of the peer. Only streams of short requests are kept.
type idleStreams struct {
	mu sync.Mutex
	// byAddress has at most maxIdleStreams streams per peer. Guarded by mu.
	byAddress map[string][]*idleStream
}

type idleStream struct {
	stream *linker.Stream
	expiry *time.Timer
}

func newIdleStreams() *idleStreams { return &idleStreams{byAddress: map[string][]*idleStream{}} }

// take removes and returns an idle stream to the peer, or returns nil if there is none.
func (i *idleStreams) take(address string) *linker.Stream {
	for {
		s := i.pop(address)
		if s == nil {
			return nil
		}
		if s.expiry.Stop() && s.stream.Reusable() {
			return s.stream
		}
		s.stream.Abort()
	}
}

func (i *idleStreams) pop(address string) *idleStream {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.byAddress[address]
	if len(list) == 0 {
		return nil
	}
	s := list[len(list)-1]
	i.set(address, list[:len(list)-1])
	return s
}

// put keeps a stream for the next exchange with the peer. After a long answer
// it releases the stream's buffers.
func (i *idleStreams) put(address string, stream *linker.Stream, received int64) {
	if received > maxIdleBufferBytes {
		stream.ReleaseBuffers()
	}
	s := &idleStream{stream: stream}
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.byAddress[address]) >= maxIdleStreams {
		stream.Abort()
		return
	}
	s.expiry = time.AfterFunc(idleTimeout, func() {
		i.remove(address, s)
		stream.Abort()
	})
	i.byAddress[address] = append(i.byAddress[address], s)
}

// remove removes a stream that has been idle for too long.
func (i *idleStreams) remove(address string, expired *idleStream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.byAddress[address]
	for n, s := range list {
		if s == expired {
			i.set(address, append(list[:n:n], list[n+1:]...))
			return
		}
	}
}

// set replaces the streams to a peer. The caller holds mu.
func (i *idleStreams) set(address string, list []*idleStream) {
	if len(list) == 0 {
		delete(i.byAddress, address)
		return
	}
	i.byAddress[address] = list
}
