package drainer

import (
	"sync"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

// Tracker counts the requests in flight at this node. Once it is closed it refuses
// new ones, so that no request can start after the count has reached zero.
type Tracker struct {
	mu sync.Mutex
	// closed is true once all new requests are refused. Guarded by mu.
	closed bool
	// peersClosed is true once new requests from other nodes are refused. Guarded by mu.
	peersClosed bool
	// inFlight holds the requests in flight. Guarded by mu.
	inFlight map[*request]struct{}
}

// request is a request in flight.
type request struct {
	class     snapshotter.Class
	startedAt time.Time
}

// NewTracker returns a tracker that accepts requests.
func NewTracker() *Tracker { return &Tracker{inFlight: map[*request]struct{}{}} }

// Begin counts a request until done is called. It returns false once the tracker is closed.
func (t *Tracker) Begin(class snapshotter.Class) (done func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, false
	}
	r := &request{class: class, startedAt: time.Now()}
	t.inFlight[r] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.inFlight, r)
	}, true
}

// BeginPeer counts a request from another node until done is called. It returns
// false once the tracker is closed, or closed for peers.
func (t *Tracker) BeginPeer(class snapshotter.Class) (done func(), ok bool) {
	t.mu.Lock()
	closed := t.peersClosed
	t.mu.Unlock()
	if closed {
		return nil, false
	}
	return t.Begin(class)
}

// ClosePeers refuses new requests from other nodes from now on.
func (t *Tracker) ClosePeers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peersClosed = true
}

// PeersClosed reports whether new requests from other nodes are refused.
func (t *Tracker) PeersClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peersClosed || t.closed
}

// Close refuses new requests from now on.
func (t *Tracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Closed reports whether new requests are refused.
func (t *Tracker) Closed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// Count describes the requests in flight.
type Count struct {
	Total int
	// ByClass holds the counts by class. They add up to Total.
	ByClass map[snapshotter.Class]int
	// Oldest is when the oldest request in flight started; zero when there is none.
	Oldest time.Time
}

// Count returns the number of requests in flight, by class, and the start of the oldest.
func (t *Tracker) Count() Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Count{Total: len(t.inFlight), ByClass: map[snapshotter.Class]int{}}
	for r := range t.inFlight {
		c.ByClass[r.class]++
		if c.Oldest.IsZero() || r.startedAt.Before(c.Oldest) {
			c.Oldest = r.startedAt
		}
	}
	return c
}
