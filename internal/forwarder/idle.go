package forwarder

import (
	"sync"
	"time"

	"gentianbarrow.example/internal/linker"
)

const (
	// idleTimeout is how long a stream waits for its next exchange. It is far
	// shorter than serverIdleTimeout, so that no request meets a stream that
	// its peer is about to close.
	idleTimeout       = 3 * time.Second
	serverIdleTimeout = 30 * time.Second
	// keptBufferBytes is how much a waiting stream may have received at once.
	keptBufferBytes = 16 << 10
	// maxIdle bounds the waiting streams to one peer.
	maxIdle = 16
)

// idleStreams holds streams whose last exchange has ended cleanly, by the
// address of the peer. Only streams of short requests are kept.
type idleStreams struct {
	mu sync.Mutex
	// waiting has at most maxIdle streams for each peer. Guarded by mu.
	waiting map[string][]*idleStream
}

type idleStream struct {
	stream *linker.Stream
	expiry *time.Timer
}

func newIdleStreams() *idleStreams { return &idleStreams{waiting: map[string][]*idleStream{}} }

// take returns a stream to the peer, or nil when there is none.
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
	list := i.waiting[address]
	if len(list) == 0 {
		return nil
	}
	s := list[len(list)-1]
	i.set(address, list[:len(list)-1])
	return s
}

// put keeps a stream for the next exchange with the peer. A stream that has
// carried much gives its buffer back.
func (i *idleStreams) put(address string, stream *linker.Stream, received int64) {
	if received > keptBufferBytes {
		stream.Rest()
	}
	s := &idleStream{stream: stream}
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.waiting[address]) >= maxIdle {
		stream.Abort()
		return
	}
	s.expiry = time.AfterFunc(idleTimeout, func() {
		i.drop(address, s)
		stream.Abort()
	})
	i.waiting[address] = append(i.waiting[address], s)
}

// drop forgets a stream that has waited too long.
func (i *idleStreams) drop(address string, gone *idleStream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.waiting[address]
	for n, s := range list {
		if s == gone {
			i.set(address, append(list[:n:n], list[n+1:]...))
			return
		}
	}
}

// set replaces the list of a peer. The caller holds mu.
func (i *idleStreams) set(address string, list []*idleStream) {
	if len(list) == 0 {
		delete(i.waiting, address)
		return
	}
	i.waiting[address] = list
}
