// Package elector chooses the relays of a data centre. A relay is a node that
// holds one of a few lease objects in the platform, and it alone watches the
// platform for new configuration.
//
// Only the first nodes in the order of package ranker read and claim leases,
// so that the platform calls of a data centre do not grow with its size. A
// lease gives no authority: versions are totally ordered and verified by
// digest, so two holders of one slot, or a holder that was paused, do no harm.
package elector

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/pkg/storer"
)

// DefaultSlots is how many relays a data centre has.
const DefaultSlots = 3

const (
	leaseTerm   = 15 * time.Second
	renewAfter  = 5 * time.Second
	lapseGrace  = 2 * time.Second
	readEvery   = 8 * time.Second
	readSpread  = 4 * time.Second
	startWait   = 2 * time.Second
	startSpread = 2 * time.Second
	// aloneWait is how much longer a node waits that knows no other member yet:
	// it may be one of many that start together.
	aloneWait         = 3 * time.Second
	callTimeout       = 3 * time.Second
	backoffFirst      = 1 * time.Second
	backoffMost       = 15 * time.Second
	candidatesPerSlot = 2
)

// Elector claims and renews the lease of this node.
type Elector struct {
	// Client is the platform.
	Client storer.Client
	// Slots is how many relays the data centre has; at least 1.
	Slots int
	// DataCentre of this node.
	DataCentre string
	// Now returns the time. Tests replace it.
	Now func() time.Time
	Log *logger.Logger
}

// Option changes an Elector.
type Option func(*Elector)

// WithSlots sets how many relays the data centre has.
func WithSlots(n int) Option { return func(e *Elector) { e.Slots = n } }

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(e *Elector) { e.Now = now } }

// WithLogger sets the log.
func WithLogger(log *logger.Logger) Option { return func(e *Elector) { e.Log = log } }

// New returns the controller that owns the entry Lease.
func New(client storer.Client, dataCentre string, options ...Option) blackboard.Controller {
	e := &Elector{Client: client, Slots: DefaultSlots, DataCentre: dataCentre, Now: time.Now}
	for _, o := range options {
		o(e)
	}
	return blackboard.Controller{Name: "elector", Reduce: e.reduce, Run: e.run}
}

// NoLease is the entry of a node that has just started.
func NoLease() blackboard.Lease { return blackboard.Lease{Slot: -1} }

// Candidates returns how many nodes read and claim the leases of a data centre with a number of slots.
func Candidates(slots int) int { return candidatesPerSlot * slots }

func (e *Elector) reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	switch m := msg.(type) {
	case blackboard.Tick:
		return e.tick(s, m.Now)
	case blackboard.StopRequested:
		return e.stop(s, m.Now)
	case LeasesRead:
		return e.leasesRead(s, m)
	case LeaseWritten:
		return e.leaseWritten(s, m)
	}
	return s, nil
}

// stop gives the held slot up, so that another node takes it at its next read.
// It is tried once; otherwise the lease lapses.
func (e *Elector) stop(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	l := &s.Lease
	l.Stopping = true
	if l.Slot < 0 {
		return s, nil
	}
	record := newRecord(s.Self, l.Slot, l.Epoch, now)
	record.Expires = now.Add(-lapseGrace)
	release := WriteLease{Record: record, Revision: l.Revision}
	return s, []blackboard.Effect{e.drop(s.Self, l, "stopping"), release}
}

func (e *Elector) tick(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	l := &s.Lease
	if l.Stopping {
		return s, nil
	}
	if l.ReadAt.IsZero() {
		l.ReadAt = now.Add(startWait + ranker.Jitter(s.Self.Host, now, 0, startSpread))
	}
	if l.Slot >= 0 && !now.Before(l.Expires) {
		effects = append(effects, e.drop(s.Self, l, "lapsed"))
	}
	if now.Before(l.BusyUntil) {
		return s, effects
	}
	if l.Slot >= 0 && !now.Before(l.RenewAt) {
		return s, append(effects, e.renew(s.Self, l, now))
	}
	if now.Before(l.ReadAt) {
		return s, effects
	}
	if l.InitialWaitEnded.IsZero() {
		l.InitialWaitEnded = now
		if len(s.Members.ByHost) <= 1 {
			l.ReadAt = now.Add(aloneWait)
			return s, effects
		}
	}
	if l.Slot < 0 && e.holdsOff(s, l, now) {
		return s, effects
	}
	l.BusyUntil = now.Add(callTimeout * time.Duration(e.Slots))
	return s, append(effects, ReadLeases{})
}

// holdsOff tells whether a node without a lease leaves out this read, and sets
// when to look again.
func (e *Elector) holdsOff(s blackboard.State, l *blackboard.Lease, now time.Time) bool {
	if e.rank(s) >= Candidates(e.Slots) {
		l.Candidate = false
		l.Relays = nil
		l.ReadAt = now.Add(readEvery)
		return true
	}
	spread := ranker.IntervalFactor(s.Members.ByHost)
	if l.Candidate || spread == 1 {
		l.Candidate = true
		return false
	}
	l.Candidate = true
	l.ReadAt = now.Add(ranker.Jitter(s.Self.Host, now, 2, spread*readEvery))
	return true
}

// rank returns the place of this node among those that may become relays.
func (e *Elector) rank(s blackboard.State) int {
	return ranker.Position(s.Members.ByHost, s.Self.Host)
}

func (e *Elector) drop(self blackboard.Self, l *blackboard.Lease, reason string) blackboard.Effect {
	note := Note{logger.LeaseLost, logger.Fields{Peer: Key(self.DataCentre, l.Slot), Reason: reason}}
	l.Slot = -1
	l.Epoch = 0
	l.Revision = 0
	return note
}

func (e *Elector) renew(self blackboard.Self, l *blackboard.Lease, now time.Time) blackboard.Effect {
	l.BusyUntil = now.Add(callTimeout)
	return WriteLease{Record: newRecord(self, l.Slot, l.Epoch, now), Revision: l.Revision}
}

func newRecord(self blackboard.Self, slot int, epoch uint64, now time.Time) Record {
	return Record{
		Slot: slot, Epoch: epoch, Host: self.Host, Address: self.Address,
		Incarnation: self.Incarnation, Expires: now.Add(leaseTerm),
	}
}

// answered notes the end of a call to the platform. It returns false when
// nothing follows from the answer: the call failed, or the node is stopping.
func (e *Elector) answered(self blackboard.Self, l *blackboard.Lease, now time.Time, err error) bool {
	if l.Stopping {
		return false
	}
	l.BusyUntil = time.Time{}
	if err != nil {
		e.backOff(self, l, now)
		return false
	}
	l.Failures = 0
	return true
}

func (e *Elector) leasesRead(s blackboard.State, m LeasesRead) (blackboard.State, []blackboard.Effect) {
	l := &s.Lease
	if !e.answered(s.Self, l, m.Now, m.Err) {
		return s, nil
	}
	wait := readEvery + ranker.Jitter(s.Self.Host, m.Now, 1, readSpread)
	l.ReadAt = m.Now.Add(wait * ranker.IntervalFactor(s.Members.ByHost))
	l.Relays = nil
	var vacant []int
	for i, seen := range m.Slots {
		if lapsed(seen, m.Now) {
			vacant = append(vacant, i)
			continue
		}
		l.Relays = append(l.Relays, seen.Record.relay())
	}
	effects := e.settle(s.Self, l, m)
	if l.Slot >= 0 || len(vacant) == 0 {
		return s, effects
	}
	rank := e.rank(s)
	if rank >= Candidates(e.Slots) {
		return s, effects
	}
	slot := vacant[rank%len(vacant)]
	seen := m.Slots[slot]
	l.BusyUntil = m.Now.Add(callTimeout)
	record := newRecord(s.Self, slot, seen.Record.Epoch+1, m.Now)
	return s, append(effects, WriteLease{Record: record, Revision: seen.Revision})
}

func lapsed(seen Seen, now time.Time) bool {
	return seen.Revision == 0 || now.After(seen.Record.Expires.Add(lapseGrace))
}

// settle compares the held lease with what the platform holds. It settles a
// write whose answer was lost.
func (e *Elector) settle(self blackboard.Self, l *blackboard.Lease, m LeasesRead) []blackboard.Effect {
	if l.Slot >= 0 && l.Slot < len(m.Slots) {
		seen := m.Slots[l.Slot]
		if seen.Record.heldBy(self) && seen.Record.Epoch == l.Epoch {
			hold(l, seen)
			return nil
		}
		return []blackboard.Effect{e.drop(self, l, "taken over")}
	}
	for _, seen := range m.Slots {
		if seen.Record.heldBy(self) && m.Now.Before(seen.Record.Expires) {
			hold(l, seen)
			return []blackboard.Effect{taken(self, l)}
		}
	}
	return nil
}

func (e *Elector) leaseWritten(s blackboard.State, m LeaseWritten) (blackboard.State, []blackboard.Effect) {
	l := &s.Lease
	if !e.answered(s.Self, l, m.Now, m.Err) {
		return s, nil
	}
	if !m.Now.Before(m.Record.Expires) {
		return s, nil
	}
	wasHolder := l.Slot == m.Record.Slot && l.Epoch == m.Record.Epoch
	hold(l, Seen{Record: m.Record, Revision: m.Revision})
	if wasHolder {
		return s, nil
	}
	return s, []blackboard.Effect{taken(s.Self, l)}
}

// backOff delays the next call. It is a read, which shows whether a write took effect.
func (e *Elector) backOff(self blackboard.Self, l *blackboard.Lease, now time.Time) {
	l.Failures++
	l.ReadAt = now.Add(ranker.Backoff(self.Host, now, l.Failures, backoffFirst, backoffMost))
	if l.Slot >= 0 {
		l.RenewAt = l.Expires
	}
}

func hold(l *blackboard.Lease, seen Seen) {
	l.Slot = seen.Record.Slot
	l.Epoch = seen.Record.Epoch
	l.Expires = seen.Record.Expires
	l.Revision = seen.Revision
	l.RenewAt = l.Expires.Add(renewAfter - leaseTerm)
}

func taken(self blackboard.Self, l *blackboard.Lease) blackboard.Effect {
	return Note{logger.LeaseTaken, logger.Fields{Peer: Key(self.DataCentre, l.Slot)}}
}

// run carries out an effect. Each platform call has its own timeout.
func (e *Elector) run(ctx context.Context, effect blackboard.Effect, post blackboard.Post) {
	switch f := effect.(type) {
	case ReadLeases:
		slots, err := readLeases(ctx, e.Client, e.DataCentre, e.Slots)
		post(LeasesRead{Now: e.Now(), Slots: slots, Err: err})
	case WriteLease:
		obj, err := e.writeLease(ctx, f)
		post(LeaseWritten{Now: e.Now(), Record: f.Record, Revision: obj.Revision, Err: err})
	case Note:
		e.Log.Write(f.Event, f.Fields)
	}
}
