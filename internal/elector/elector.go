// Package elector elects the relays of a data centre. A relay is a node that
// holds one of a few lease objects in the platform, and only relays watch the
// platform for new configuration.
//
// Only the first nodes in the order of package ranker read and claim leases, so
// that the number of platform calls of a data centre does not grow with its
// size. Correctness does not depend on a lease: versions are totally ordered
// and verified by digest, so two holders of one slot, or a holder that was
// paused, do no harm.
package elector

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/pkg/storer"
)

// DefaultSlots is the default number of relays of a data centre.
const DefaultSlots = 3

const (
	leaseDuration  = 15 * time.Second
	renewAfter     = 5 * time.Second
	expiryGrace    = 2 * time.Second
	readInterval   = 8 * time.Second
	maxReadJitter  = 4 * time.Second
	startDelay     = 2 * time.Second
	maxStartJitter = 2 * time.Second
	// noMembersDelay is an additional delay for a node that knows no other member
	// yet: it may be one of many that start at the same time.
	noMembersDelay    = 3 * time.Second
	callTimeout       = 3 * time.Second
	minBackoff        = 1 * time.Second
	maxBackoff        = 15 * time.Second
	candidatesPerSlot = 2
)

// Elector claims and renews the lease of this node.
type Elector struct {
	// Client is the client of the platform's object store.
	Client storer.Client
	// Slots is the number of relays of the data centre. It is at least 1.
	Slots int
	// DataCentre is the data centre of this node.
	DataCentre string
	// Now returns the time. Tests replace it.
	Now func() time.Time
	Log *logger.Logger
}

// Option configures an Elector.
type Option func(*Elector)

// WithSlots sets the number of relays of the data centre.
func WithSlots(n int) Option { return func(e *Elector) { e.Slots = n } }

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(e *Elector) { e.Now = now } }

// WithLogger sets the logger.
func WithLogger(log *logger.Logger) Option { return func(e *Elector) { e.Log = log } }

// New returns the controller that owns the blackboard entry Lease.
func New(client storer.Client, dataCentre string, options ...Option) blackboard.Controller {
	e := &Elector{Client: client, Slots: DefaultSlots, DataCentre: dataCentre, Now: time.Now}
	for _, o := range options {
		o(e)
	}
	return blackboard.Controller{Name: "elector", Reduce: e.reduce, Run: e.run}
}

// NoLease returns the Lease entry of a node that has just started.
func NoLease() blackboard.Lease { return blackboard.Lease{Slot: -1} }

// candidateCount returns how many nodes read and claim the leases of a data
// centre with the given number of slots.
func candidateCount(slots int) int { return candidatesPerSlot * slots }

func (e *Elector) reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	switch m := msg.(type) {
	case blackboard.Tick:
		return e.handleTick(s, m.Now)
	case blackboard.StopRequested:
		return e.handleStop(s, m.Now)
	case LeasesRead:
		return e.handleLeasesRead(s, m)
	case LeaseWritten:
		return e.handleLeaseWritten(s, m)
	}
	return s, nil
}

// handleStop releases the held slot, so that another node takes it at its next
// read. If the write fails it is not retried, and the lease expires.
func (e *Elector) handleStop(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	l := &s.Lease
	l.Stopping = true
	if l.Slot < 0 {
		return s, nil
	}
	record := newRecord(s.Self, l.Slot, l.Epoch, now)
	record.Expires = now.Add(-expiryGrace)
	release := WriteLease{Record: record, Revision: l.Revision}
	return s, []blackboard.Effect{e.dropLease(s.Self, l, "stopping"), release}
}

func (e *Elector) handleTick(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	l := &s.Lease
	if l.Stopping {
		return s, nil
	}
	if l.ReadAt.IsZero() {
		l.ReadAt = now.Add(startDelay + ranker.Jitter(s.Self.Host, now, 0, maxStartJitter))
	}
	if l.Slot >= 0 && !now.Before(l.Expires) {
		effects = append(effects, e.dropLease(s.Self, l, "lapsed"))
	}
	if now.Before(l.BusyUntil) {
		return s, effects
	}
	if l.Slot >= 0 && !now.Before(l.RenewAt) {
		return s, append(effects, e.renewLease(s.Self, l, now))
	}
	if now.Before(l.ReadAt) {
		return s, effects
	}
	if l.InitialWaitEnded.IsZero() {
		l.InitialWaitEnded = now
		if len(s.Members.ByHost) <= 1 {
			l.ReadAt = now.Add(noMembersDelay)
			return s, effects
		}
	}
	if l.Slot < 0 && e.deferRead(s, l, now) {
		return s, effects
	}
	l.BusyUntil = now.Add(callTimeout * time.Duration(e.Slots))
	return s, append(effects, ReadLeases{})
}

// deferRead reports whether a node without a lease skips this read, and sets
// the time of the next one.
func (e *Elector) deferRead(s blackboard.State, l *blackboard.Lease, now time.Time) bool {
	if e.position(s) >= candidateCount(e.Slots) {
		l.Candidate = false
		l.Relays = nil
		l.ReadAt = now.Add(readInterval)
		return true
	}
	factor := ranker.IntervalFactor(s.Members.ByHost)
	if l.Candidate || factor == 1 {
		l.Candidate = true
		return false
	}
	l.Candidate = true
	l.ReadAt = now.Add(ranker.Jitter(s.Self.Host, now, 2, factor*readInterval))
	return true
}

// position returns the position of this node in the order of package ranker.
func (e *Elector) position(s blackboard.State) int {
	return ranker.Position(s.Members.ByHost, s.Self.Host)
}

func (e *Elector) dropLease(self blackboard.Self, l *blackboard.Lease, reason string) blackboard.Effect {
	lost := WriteLog{logger.LeaseLost, logger.Fields{Peer: Key(self.DataCentre, l.Slot), Reason: reason}}
	l.Slot = -1
	l.Epoch = 0
	l.Revision = 0
	return lost
}

func (e *Elector) renewLease(self blackboard.Self, l *blackboard.Lease, now time.Time) blackboard.Effect {
	l.BusyUntil = now.Add(callTimeout)
	return WriteLease{Record: newRecord(self, l.Slot, l.Epoch, now), Revision: l.Revision}
}

func newRecord(self blackboard.Self, slot int, epoch uint64, now time.Time) Record {
	return Record{
		Slot: slot, Epoch: epoch, Host: self.Host, Address: self.Address,
		Incarnation: self.Incarnation, Expires: now.Add(leaseDuration),
	}
}

// finishCall records the result of a platform call. It returns false if the
// result needs no further handling, because the call failed or the node is
// stopping.
func (e *Elector) finishCall(self blackboard.Self, l *blackboard.Lease, now time.Time, err error) bool {
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

func (e *Elector) handleLeasesRead(s blackboard.State, m LeasesRead) (blackboard.State, []blackboard.Effect) {
	l := &s.Lease
	if !e.finishCall(s.Self, l, m.Now, m.Err) {
		return s, nil
	}
	wait := readInterval + ranker.Jitter(s.Self.Host, m.Now, 1, maxReadJitter)
	l.ReadAt = m.Now.Add(wait * ranker.IntervalFactor(s.Members.ByHost))
	l.Relays = nil
	var vacant []int
	for i, stored := range m.Slots {
		if isVacant(stored, m.Now) {
			vacant = append(vacant, i)
			continue
		}
		l.Relays = append(l.Relays, stored.Record.toRelay())
	}
	effects := e.reconcile(s.Self, l, m)
	if l.Slot >= 0 || len(vacant) == 0 {
		return s, effects
	}
	position := e.position(s)
	if position >= candidateCount(e.Slots) {
		return s, effects
	}
	slot := vacant[position%len(vacant)]
	stored := m.Slots[slot]
	l.BusyUntil = m.Now.Add(callTimeout)
	record := newRecord(s.Self, slot, stored.Record.Epoch+1, m.Now)
	return s, append(effects, WriteLease{Record: record, Revision: stored.Revision})
}

func isVacant(stored StoredLease, now time.Time) bool {
	return stored.Revision == 0 || now.After(stored.Record.Expires.Add(expiryGrace))
}

// reconcile compares the held lease with the stored ones. It also finds out
// whether a write whose result was lost took effect.
func (e *Elector) reconcile(self blackboard.Self, l *blackboard.Lease, m LeasesRead) []blackboard.Effect {
	if l.Slot >= 0 && l.Slot < len(m.Slots) {
		stored := m.Slots[l.Slot]
		if stored.Record.isHeldBy(self) && stored.Record.Epoch == l.Epoch {
			setLease(l, stored)
			return nil
		}
		return []blackboard.Effect{e.dropLease(self, l, "taken over")}
	}
	for _, stored := range m.Slots {
		if stored.Record.isHeldBy(self) && m.Now.Before(stored.Record.Expires) {
			setLease(l, stored)
			return []blackboard.Effect{logLeaseTaken(self, l)}
		}
	}
	return nil
}

func (e *Elector) handleLeaseWritten(s blackboard.State, m LeaseWritten) (blackboard.State, []blackboard.Effect) {
	l := &s.Lease
	if !e.finishCall(s.Self, l, m.Now, m.Err) {
		return s, nil
	}
	if !m.Now.Before(m.Record.Expires) {
		return s, nil
	}
	wasHolder := l.Slot == m.Record.Slot && l.Epoch == m.Record.Epoch
	setLease(l, StoredLease{Record: m.Record, Revision: m.Revision})
	if wasHolder {
		return s, nil
	}
	return s, []blackboard.Effect{logLeaseTaken(s.Self, l)}
}

// backOff delays the next call. That call is a read, which shows whether a
// failed write took effect.
func (e *Elector) backOff(self blackboard.Self, l *blackboard.Lease, now time.Time) {
	l.Failures++
	l.ReadAt = now.Add(ranker.Backoff(self.Host, now, l.Failures, minBackoff, maxBackoff))
	if l.Slot >= 0 {
		l.RenewAt = l.Expires
	}
}

func setLease(l *blackboard.Lease, stored StoredLease) {
	l.Slot = stored.Record.Slot
	l.Epoch = stored.Record.Epoch
	l.Expires = stored.Record.Expires
	l.Revision = stored.Revision
	l.RenewAt = l.Expires.Add(renewAfter - leaseDuration)
}

func logLeaseTaken(self blackboard.Self, l *blackboard.Lease) blackboard.Effect {
	return WriteLog{logger.LeaseTaken, logger.Fields{Peer: Key(self.DataCentre, l.Slot)}}
}

// run executes an effect. Each platform call has its own timeout.
func (e *Elector) run(ctx context.Context, effect blackboard.Effect, post blackboard.Post) {
	switch f := effect.(type) {
	case ReadLeases:
		slots, err := readLeases(ctx, e.Client, e.DataCentre, e.Slots)
		post(LeasesRead{Now: e.Now(), Slots: slots, Err: err})
	case WriteLease:
		obj, err := e.writeLease(ctx, f)
		post(LeaseWritten{Now: e.Now(), Record: f.Record, Revision: obj.Revision, Err: err})
	case WriteLog:
		e.Log.Write(f.Event, f.Fields)
	}
}
