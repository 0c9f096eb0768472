package linker

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// pingEvery is how long a session in use may bring nothing before it is pinged.
	pingEvery = 500 * time.Millisecond
	// silentAfter is how long a session in use may bring nothing, answers to pings
	// included, before new streams go to a fresh connection.
	silentAfter = 1500 * time.Millisecond
	// Control sessions are many, and their protocols have deadlines of their
	// own, so they are pinged more rarely.
	controlPingEvery   = 2 * time.Second
	controlSilentAfter = 6 * time.Second
	// verifyTimeout bounds the check of a session that was not in use.
	verifyTimeout = 300 * time.Millisecond
	// restAfter is how long after its last stream a session is still pinged.
	restAfter = 5 * time.Second
	// idleTimeout is how long a session without streams is kept.
	idleTimeout = 60 * time.Second
	// serverPingEvery is how often the accepting side checks a session.
	serverPingEvery = 15 * time.Second
)

type slotKey struct {
	address string
	traffic Traffic
}

// slot is what is known of one peer and traffic class.
type slot struct {
	// dial serialises connecting.
	dial sync.Mutex
	// current takes new streams; nil means none. Guarded by Linker.mu.
	current *link
	// retired holds sessions that went silent and may still have streams. Guarded by Linker.mu.
	retired map[*link]bool
}

func (s *slot) links() []*link {
	var out []*link
	if s.current != nil {
		out = append(out, s.current)
	}
	for l := range s.retired {
		out = append(out, l)
	}
	return out
}

// link is one session that this node opened.
type link struct {
	session *yamux.Session
	traffic Traffic
	// heard is when bytes last came from the peer, in Unix nanoseconds.
	heard atomic.Int64
	// used is when a stream was last opened, in Unix nanoseconds.
	used atomic.Int64
}

func (l *link) touch(at *atomic.Int64) { at.Store(time.Now().UnixNano()) }

func (l *link) since(at *atomic.Int64) time.Duration {
	return time.Since(time.Unix(0, at.Load()))
}

// pingEvery returns how long the session may bring nothing while it is in use.
func (l *link) pingEvery() time.Duration {
	if l.traffic == TrafficControl {
		return controlPingEvery
	}
	return pingEvery
}

// silent tells that the session has brought nothing for too long.
func (l *link) silent() bool {
	limit := silentAfter
	if l.traffic == TrafficControl {
		limit = controlSilentAfter
	}
	return l.since(&l.heard) > limit
}

// inUse tells that the session is pinged regularly.
func (l *link) inUse() bool {
	return l.session.NumStreams() > 0 || l.since(&l.used) < restAfter
}

// usable tells that the session is neither closed nor known to be silent, and
// marks it as used.
func (l *link) usable() bool {
	if l.session.IsClosed() || l.silent() {
		return false
	}
	l.touch(&l.used)
	return true
}

func (l *link) ping() bool {
	_, err := l.session.Ping()
	return err == nil
}

func (l *Linker) yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = openTimeout
	cfg.MaxStreamWindowSize = l.window
	cfg.LogOutput = io.Discard
	return cfg
}

// link returns a session to the peer that is not known to be silent.
func (l *Linker) link(ctx context.Context, key slotKey) (*link, error) {
	s := l.slot(key)
	if current := l.usable(s); current != nil {
		return current, nil
	}
	s.dial.Lock()
	defer s.dial.Unlock()
	if current := l.usable(s); current != nil {
		return current, nil
	}
	if current := l.verified(s); current != nil {
		return current, nil
	}
	return l.connect(ctx, s, key)
}

func (l *Linker) slot(key slotKey) *slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.slots[key]
	if s == nil {
		s = &slot{retired: map[*link]bool{}}
		l.slots[key] = s
	}
	return s
}

func (l *Linker) usable(s *slot) *link {
	l.mu.Lock()
	current := s.current
	l.mu.Unlock()
	if current == nil || !current.usable() {
		return nil
	}
	return current
}

// verified checks a session that was idle. A silent one is retired: its
// streams may still finish, but it takes no new ones.
func (l *Linker) verified(s *slot) *link {
	l.mu.Lock()
	current := s.current
	l.mu.Unlock()
	if current == nil || current.session.IsClosed() {
		return nil
	}
	if !current.inUse() && l.pingWithin(current, verifyTimeout) {
		current.touch(&current.used)
		return current
	}
	l.mu.Lock()
	s.retired[current] = true
	s.current = nil
	l.mu.Unlock()
	return nil
}

func (l *Linker) pingWithin(current *link, timeout time.Duration) bool {
	answered := make(chan bool, 1)
	l.watchers.Go(func() { answered <- current.ping() })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-timer.C:
		return false
	}
}

func (l *Linker) connect(ctx context.Context, s *slot, key slotKey) (*link, error) {
	conn, err := l.Dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	fresh := &link{traffic: key.traffic}
	fresh.touch(&fresh.heard)
	fresh.touch(&fresh.used)
	counted := newCoalescer(conn, newConnCounter(l.count, key.traffic))
	counted.heard = func() { fresh.touch(&fresh.heard) }
	if fresh.session, err = yamux.Client(counted, l.yamuxConfig()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	l.mu.Lock()
	s.current = fresh
	l.mu.Unlock()
	l.watchers.Go(func() { l.watch(s, fresh) })
	return fresh, nil
}

// watch pings a session while it is in use and closes it when it is dead,
// retired and empty, or idle for long.
func (l *Linker) watch(s *slot, watched *link) {
	ticker := time.NewTicker(watched.pingEvery())
	defer ticker.Stop()
	defer l.forget(s, watched)
	for {
		select {
		case <-watched.session.CloseChan():
			return
		case <-ticker.C:
		}
		if !l.keep(s, watched) {
			_ = watched.session.Close()
			return
		}
	}
}

func (l *Linker) keep(s *slot, watched *link) bool {
	l.mu.Lock()
	retired := s.retired[watched]
	l.mu.Unlock()
	empty := watched.session.NumStreams() == 0
	if retired && empty {
		return false
	}
	if empty && watched.since(&watched.used) > idleTimeout {
		return false
	}
	return !watched.inUse() || watched.since(&watched.heard) < watched.pingEvery() || watched.ping()
}

func (l *Linker) forget(s *slot, gone *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(s.retired, gone)
	if s.current == gone {
		s.current = nil
	}
}
