package limiter

import (
	"maps"
	"slices"
	"time"
)

// StartOrder says how a request came to its slot.
type StartOrder string

// The orders in which requests start.
const (
	// StartAtOnce means that a slot was free.
	StartAtOnce StartOrder = "at-once"
	// StartQueued means that the request waited and could still meet its soft deadline.
	StartQueued StartOrder = "queued"
	// StartLate means that the request waited past the time by which it had to start for
	// its soft deadline.
	StartLate StartOrder = "late"
	// StartOverPart means that its firm had used more than its part.
	StartOverPart StartOrder = "over-part"
	// StartStarved means that it went before more urgent requests, because its kind starved.
	StartStarved StartOrder = "starved"
)

// startOrder returns how a request of the rank comes to its slot after it has waited.
func (r *rank) startOrder() StartOrder {
	switch {
	case r.isStarved:
		return StartStarved
	case r.excess > 0:
		return StartOverPart
	case r.isLate:
		return StartLate
	}
	return StartQueued
}

// Shortage tells who is put behind at a target that has too little room.
type Shortage struct {
	// FirmsOverPart are the firms with waiting requests that have used more than their part.
	FirmsOverPart []string
	// HeldRoutes are the routes whose waiting requests leave room for shorter, more urgent ones.
	HeldRoutes []string
	// StarvedRoutes are the routes of which so few requests start that they go first.
	StarvedRoutes []string
	// Starts counts the requests that started since the gate was made, by order.
	Starts map[StartOrder]int
}

// Shortage returns who is put behind now. Names are sorted.
func (g *Gate) Shortage(now time.Time) Shortage {
	s := Shortage{Starts: maps.Clone(g.starts)}
	if !g.isRanked() || g.queue.len() == 0 {
		return s
	}
	g.advance(now)
	factor := g.room.decay.factor
	g.room.demand.prepare(factor, g.slots(now))
	for name, f := range g.room.parts.firms {
		if f.waiting > 0 && g.room.parts.excess(f, factor) > 0 {
			s.FirmsOverPart = append(s.FirmsOverPart, name)
		}
	}
	for _, k := range g.room.demand.kinds {
		if k.isHeld {
			s.HeldRoutes = append(s.HeldRoutes, k.route)
		}
		if k.isStarved && k.waiting > 0 {
			s.StarvedRoutes = append(s.StarvedRoutes, k.route)
		}
	}
	s.FirmsOverPart, s.HeldRoutes, s.StarvedRoutes = sorted(s.FirmsOverPart), sorted(s.HeldRoutes), sorted(s.StarvedRoutes)
	return s
}

func sorted(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// Shortage returns who is put behind now.
func (s *SyncGate) Shortage() Shortage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Shortage(time.Now())
}
