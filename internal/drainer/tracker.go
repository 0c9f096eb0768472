package drainer

import (
	"sync"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

// Tracker counts the requests in flight at this node. It refuses new ones once
// it is closed, so that after the count has reached zero nothing can start.
type Tracker struct {
	mu sync.Mutex
	// closed refuses new requests. Guarded by mu.
	closed bool
	// peersClosed refuses new requests of other nodes. Guarded by mu.
	peersClosed bool
	// running holds the requests in flight. Guarded by mu.
	running map[*flight]struct{}
}

type flight struct {
	class snapshotter.Class
	since time.Time
}

// NewTracker returns a tracker that takes requests.
func NewTracker() *Tracker { return &Tracker{running: map[*flight]struct{}{}} }

// Begin counts a request until done is called. It returns false once the tracker is closed.
func (t *Tracker) Begin(class snapshotter.Class) (done func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, false
	}
	f := &flight{class: class, since: time.Now()}
	t.running[f] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.running, f)
	}, true
}

// BeginPeer counts a request of another node until done is called. It returns false once peers are refused.
func (t *Tracker) BeginPeer(class snapshotter.Class) (done func(), ok bool) {
	t.mu.Lock()
	closed := t.peersClosed
	t.mu.Unlock()
	if closed {
		return nil, false
	}
	return t.Begin(class)
}

// ClosePeers refuses new requests of other nodes from now on.
func (t *Tracker) ClosePeers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peersClosed = true
}

// PeersClosed tells that new requests of other nodes are refused.
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

// Closed tells that new requests are refused.
func (t *Tracker) Closed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// Count describes the requests in flight.
type Count struct {
	Total int
	// ByClass sums up to Total.
	ByClass map[snapshotter.Class]int
	// Oldest is when the oldest of them began; zero when there is none.
	Oldest time.Time
}

// Count returns the requests in flight.
func (t *Tracker) Count() Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Count{Total: len(t.running), ByClass: map[snapshotter.Class]int{}}
	for f := range t.running {
		c.ByClass[f.class]++
		if c.Oldest.IsZero() || f.since.Before(c.Oldest) {
			c.Oldest = f.since
		}
	}
	return c
}
