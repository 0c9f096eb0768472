package shedder

import (
	"sync"
	"time"
)

// restAfter is how long no request must have been rejected for a shortage to count as over.
const restAfter = time.Second

// Guard decides for a node which requests it admits. It is safe for concurrent use.
type Guard struct {
	// Lateness returns how late the node runs.
	Lateness func() Lateness
	// Spread returns a random number from 0 to 1.
	Spread func() float64
	// OnReport, if not nil, is called when a shortage begins, once a second while it lasts
	// and when it has ended.
	OnReport func(r Report)

	mu sync.Mutex
	// shortage is guarded by mu.
	shortage shortage
}

// Phase is the phase of a shortage of processor time.
type Phase string

// The phases of a shortage.
const (
	PhaseBegan   Phase = "began"
	PhaseGoesOn  Phase = "goes-on"
	PhaseEnded   Phase = "ended"
	reportPeriod       = time.Second
)

// Report tells of a shortage of processor time.
type Report struct {
	Phase Phase
	// Rejected is the number of requests rejected since the report before.
	Rejected int
	Lateness Lateness
}

// shortage is a time in which requests are rejected again and again.
type shortage struct {
	// since is when it began; zero if there is none.
	since time.Time
	// lastRejected is when a request was rejected last.
	lastRejected time.Time
	nextReport   time.Time
	rejected     int
}

// Decide admits or rejects a request.
func (g *Guard) Decide(now time.Time, r Request) Decision {
	if g == nil {
		return Decision{}
	}
	l := g.Lateness()
	d := Decide(now, r.Deadline, l.Mean, g.Spread())
	if !d.Rejected {
		if share := l.RejectedShare(r); share <= 0 || g.Spread() >= share {
			return Decision{}
		}
	}
	g.mu.Lock()
	since := g.shortage.reject(now)
	g.mu.Unlock()
	return Decision{Rejected: true, RetryAt: retryAt(now, since, r.Deadline, l, g.Spread())}
}

// IsShort reports whether the node has run late for some time, so that what it reads may be old.
func (g *Guard) IsShort() bool {
	if g == nil {
		return false
	}
	l := g.Lateness()
	return l.Standing > l.Tolerance
}

// reject counts a rejected request and returns since when requests are rejected.
func (s *shortage) reject(now time.Time) time.Time {
	if now.Sub(s.lastRejected) >= restAfter {
		s.since = now
	}
	s.lastRejected = now
	s.rejected++
	return s.since
}

// Tick reports a shortage. It is called a few times a second.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	r, due := g.shortage.report(now)
	g.mu.Unlock()
	if due && g.OnReport != nil {
		r.Lateness = g.Lateness()
		g.OnReport(r)
	}
}

func (s *shortage) report(now time.Time) (Report, bool) {
	switch {
	case s.since.IsZero(), now.Before(s.nextReport):
		return Report{}, false
	case now.Sub(s.lastRejected) >= restAfter:
		r := Report{Phase: PhaseEnded, Rejected: s.rejected}
		*s = shortage{lastRejected: s.lastRejected}
		return r, true
	}
	r := Report{Phase: PhaseGoesOn, Rejected: s.rejected}
	if s.nextReport.IsZero() {
		r.Phase = PhaseBegan
	}
	s.rejected, s.nextReport = 0, now.Add(reportPeriod)
	return r, true
}

// patienceDivisor divides the time that a caller has left to give the latest time at which
// it may come back: later ones would find the request with no time to be served.
const patienceDivisor = 3

// retryAt returns when a rejected caller may come back: when the node has caught up, and
// spread over the time for which the shortage has lasted, because it is expected to last
// as long again.
func retryAt(now, since, deadline time.Time, l Lateness, spread float64) time.Time {
	earliest := min(max(turns*l.Mean/2, minRetryDelay/2), maxRetryDelay)
	latest := max(earliest, min(max(turns*l.Mean, now.Sub(since)), deadline.Sub(now)/patienceDivisor))
	return now.Add(earliest + time.Duration(spread*float64(latest-earliest)))
}
