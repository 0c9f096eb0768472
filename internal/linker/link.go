package linker

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// pingInterval is how long a session in use may receive nothing before it is pinged.
	pingInterval = 500 * time.Millisecond
	// silenceTimeout is how long a session in use may receive nothing, not even
	// answers to pings, before new streams go to a new connection.
	silenceTimeout = 1500 * time.Millisecond
	// Control sessions are pinged less often: there are many of them, and their
	// protocols have deadlines of their own.
	controlPingInterval   = 2 * time.Second
	controlSilenceTimeout = 6 * time.Second
	// verifyTimeout bounds the ping that checks a session which was not in use.
	verifyTimeout = 300 * time.Millisecond
	// recentUsePeriod is how long after its last use a session without streams is still pinged.
	recentUsePeriod = 5 * time.Second
	// idleTimeout is how long a session without streams is kept.
	idleTimeout = 60 * time.Second
	// serverPingInterval is how often the accepting side pings a session.
	serverPingInterval = 15 * time.Second
)

type linkKey struct {
	address string
	traffic Traffic
}

// linkSet holds the sessions to one peer for one traffic class.
type linkSet struct {
	// dialLock holds a token while a caller connects, so that one does at a time.
	dialLock chan struct{}
	// current takes new streams; nil if there is none. Guarded by Linker.mu.
	current *link
	// retired holds sessions that became silent and may still have streams. Guarded by Linker.mu.
	retired map[*link]bool
}

func (s *linkSet) all() []*link {
	var out []*link
	if s.current != nil {
		out = append(out, s.current)
	}
	for l := range s.retired {
		out = append(out, l)
	}
	return out
}

// link is a session that this node opened.
type link struct {
	session *yamux.Session
	traffic Traffic
	// lastReceived is when bytes were last received from the peer, in Unix nanoseconds.
	lastReceived atomic.Int64
	// lastUsed is when the session was last chosen for an exchange, in Unix nanoseconds.
	lastUsed atomic.Int64
	// opening counts the streams that wait to be opened.
	opening atomic.Int32
}

func (l *link) touch(at *atomic.Int64) { at.Store(time.Now().UnixNano()) }

func (l *link) since(at *atomic.Int64) time.Duration {
	return time.Since(time.Unix(0, at.Load()))
}

// pingInterval returns how long the session may receive nothing before it is pinged while in use.
func (l *link) pingInterval() time.Duration {
	if l.traffic == TrafficControl {
		return controlPingInterval
	}
	return pingInterval
}

// isSilent tells whether the session has received nothing for longer than its silence timeout.
func (l *link) isSilent() bool {
	limit := silenceTimeout
	if l.traffic == TrafficControl {
		limit = controlSilenceTimeout
	}
	return l.since(&l.lastReceived) > limit
}

// isInUse tells whether the session has streams or was used recently, so that it is pinged regularly.
func (l *link) isInUse() bool {
	return l.session.NumStreams() > 0 || l.since(&l.lastUsed) < recentUsePeriod
}

// tryUse marks the session as used. It returns false if the session is closed
// or silent.
func (l *link) tryUse() bool {
	if l.session.IsClosed() || l.isSilent() {
		return false
	}
	l.touch(&l.lastUsed)
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
	cfg.MaxStreamWindowSize = l.windowBytes
	cfg.LogOutput = io.Discard
	return cfg
}

// activeLink returns a session to the peer that is not silent, and connects if there is none.
func (l *Linker) activeLink(ctx context.Context, key linkKey) (*link, error) {
	s := l.linkSet(key)
	if current := l.useCurrent(s); current != nil {
		return current, nil
	}
	select {
	case s.dialLock <- struct{}{}:
		defer func() { <-s.dialLock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if current := l.useCurrent(s); current != nil {
		return current, nil
	}
	if current := l.verifyCurrent(s); current != nil {
		return current, nil
	}
	return l.connect(ctx, s, key)
}

func (l *Linker) linkSet(key linkKey) *linkSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.linkSets[key]
	if s == nil {
		s = &linkSet{dialLock: make(chan struct{}, 1), retired: map[*link]bool{}}
		l.linkSets[key] = s
	}
	return s
}

// useCurrent marks the current session as used and returns it, or nil if it is closed or silent.
func (l *Linker) useCurrent(s *linkSet) *link {
	l.mu.Lock()
	current := s.current
	l.mu.Unlock()
	if current == nil || !current.tryUse() {
		return nil
	}
	return current
}

// verifyCurrent pings the current session if it was not in use, and returns it
// if the peer answers. Otherwise it retires the session: its streams may still
// finish, but it takes no new ones.
func (l *Linker) verifyCurrent(s *linkSet) *link {
	l.mu.Lock()
	current := s.current
	l.mu.Unlock()
	if current == nil || current.session.IsClosed() {
		return nil
	}
	if !current.isInUse() && l.pingWithin(current, verifyTimeout) {
		current.touch(&current.lastUsed)
		return current
	}
	l.retire(s, current)
	return nil
}

// retire makes a session take no new streams. Its streams may still finish.
func (l *Linker) retire(s *linkSet, retired *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.current == retired {
		s.retired[retired] = true
		s.current = nil
	}
}

func (l *Linker) pingWithin(current *link, timeout time.Duration) bool {
	answered := make(chan bool, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.monitors.Go(func() { answered <- current.ping() })
	l.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-timer.C:
		return false
	}
}

func (l *Linker) connect(ctx context.Context, s *linkSet, key linkKey) (*link, error) {
	conn, err := l.Dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	created := &link{traffic: key.traffic}
	created.touch(&created.lastReceived)
	created.touch(&created.lastUsed)
	coalesced := newCoalescer(conn, newConnCounter(l.countBytes, key.traffic))
	coalesced.onReceive = func() { created.touch(&created.lastReceived) }
	if created.session, err = yamux.Client(coalesced, l.yamuxConfig()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = created.session.Close()
		return nil, &ClosedError{}
	}
	s.current = created
	l.monitors.Go(func() { l.monitor(s, created) })
	return created, nil
}

// monitor pings a session while it is in use. It closes the session if a ping
// fails, if it is retired and has no streams, or after idleTimeout.
func (l *Linker) monitor(s *linkSet, monitored *link) {
	ticker := time.NewTicker(monitored.pingInterval())
	defer ticker.Stop()
	defer l.remove(s, monitored)
	for {
		select {
		case <-monitored.session.CloseChan():
			return
		case <-ticker.C:
		}
		if !l.shouldKeep(s, monitored) {
			_ = monitored.session.Close()
			return
		}
	}
}

// shouldKeep tells whether a session stays open. It pings a session in use that
// has received nothing for its ping interval.
func (l *Linker) shouldKeep(s *linkSet, monitored *link) bool {
	l.mu.Lock()
	retired := s.retired[monitored]
	l.mu.Unlock()
	empty := monitored.session.NumStreams() == 0
	if retired && empty {
		return false
	}
	if empty && monitored.since(&monitored.lastUsed) > idleTimeout {
		return false
	}
	return !monitored.isInUse() || monitored.since(&monitored.lastReceived) < monitored.pingInterval() || monitored.ping()
}

func (l *Linker) remove(s *linkSet, closed *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(s.retired, closed)
	if s.current == closed {
		s.current = nil
	}
}
