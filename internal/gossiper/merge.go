package gossiper

import (
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// source tells how a record reached this node.
type source int

const (
	// sourceRumour is a fresh change that spreads by packets.
	sourceRumour source = iota
	// sourceTable is an exchanged table: what it says of the dead may be old.
	sourceTable
)

// merge takes in one record and reports whether it taught something.
func (d *draft) merge(r *wirepb.MemberRecord, from source) bool {
	if r.GetHost() == d.self.Host {
		return d.defend(r)
	}
	old, known := d.members[r.GetHost()]
	if r.GetAddress() == "" && !known {
		return false
	}
	next := member(r, d.self.DataCentre, d.now)
	if r.GetAddress() == "" {
		next.Address, next.Rack, next.Target = old.Address, old.Rack, old.Target
	}
	if !known {
		return d.admit(next)
	}
	return d.replace(old, next, from)
}

// admit takes in a host that is not in the table.
func (d *draft) admit(next blackboard.Member) bool {
	if len(d.members) >= MaxMembers {
		return false
	}
	if gone(next.Status) && !next.ForgetAt.After(d.now) {
		return false
	}
	d.setMember(next)
	if next.Status == blackboard.MemberSuspect {
		d.hear(next.Host)
	}
	d.admitted()
	return true
}

// admitted brings the next exchange of tables forward when many hosts are new:
// then more are likely to be missing than rumours carry.
func (d *draft) admitted() {
	d.g.AddedSinceSync++
	if d.g.AddedSinceSync == maxBulkRumours && d.g.SyncDeadline.IsZero() {
		d.g.NextSync = earlier(d.g.NextSync, d.now.Add(d.jitter(syncRetryPeriod)))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// replace orders two records of one host and keeps the greater.
func (d *draft) replace(old, next blackboard.Member, from source) bool {
	if next.Incarnation < old.Incarnation {
		return false
	}
	if next.Incarnation > old.Incarnation {
		return d.supersede(old, next, from)
	}
	merged := old
	if next.Target.Revision > old.Target.Revision {
		merged.Target = next.Target
	}
	if rank(next.Status) > rank(old.Status) {
		merged.Status = next.Status
		merged.ChangedAt = d.now
		merged.ForgetAt = next.ForgetAt
	}
	return d.store(old, merged, from)
}

// supersede takes a record of a greater incarnation whole.
func (d *draft) supersede(old, next blackboard.Member, from source) bool {
	if next.Status == old.Status {
		next.ChangedAt = old.ChangedAt
	}
	return d.store(old, next, from)
}

// store writes a changed record. A table cannot declare a live member dead: the
// claim becomes a suspicion that the member itself is told of.
func (d *draft) store(old, next blackboard.Member, from source) bool {
	claimed := from == sourceTable && next.Status == blackboard.MemberDead && !gone(old.Status)
	if claimed {
		next.Status = blackboard.MemberSuspect
		next.ForgetAt = time.Time{}
	}
	if next == old {
		return false
	}
	if gone(next.Status) && next.ForgetAt.IsZero() {
		next.ForgetAt = d.now.Add(ForgetAfter)
	}
	d.setMember(next)
	fresh := old.Status != blackboard.MemberSuspect || next.Incarnation > old.Incarnation
	switch {
	case next.Status != blackboard.MemberSuspect || !fresh:
	case claimed:
		d.suspect(next.Host)
	default:
		d.hear(next.Host)
	}
	return true
}

// defend answers a record about this node itself. Whatever the record says, the
// own record changes only by raising the incarnation above it.
func (d *draft) defend(r *wirepb.MemberRecord) bool {
	own := d.own()
	newer := r.GetIncarnation() > own.Incarnation
	accused := r.GetIncarnation() == own.Incarnation &&
		(r.GetState() != wirepb.MemberState_MEMBER_STATE_ALIVE || r.GetRevision() > own.Target.Revision)
	if d.g.Left || (!newer && !accused) {
		return false
	}
	if r.GetState() == wirepb.MemberState_MEMBER_STATE_SUSPECT {
		d.raiseScore()
	}
	own.Incarnation = r.GetIncarnation() + 1
	d.setMember(own)
	d.addRumour(own.Host)
	return false
}

// suspect stores the deadline by which a member must refute, and tells it from now on.
func (d *draft) suspect(host string) {
	d.addSuspicion(host, d.now.Add(d.stretch(suspicionTimeout)), d.now)
}

// hear stores the deadline of a suspicion of others. The member is told only
// when they should be done.
func (d *draft) hear(host string) {
	tellAt := d.now.Add(d.stretch(suspicionTimeout))
	d.addSuspicion(host, tellAt.Add(hearsayTimeout), tellAt)
}

func (d *draft) addSuspicion(host string, deadline, tellAt time.Time) {
	if !d.suspicionsCopied {
		d.g.Suspicions = slices.Clone(d.g.Suspicions)
		d.suspicionsCopied = true
	}
	d.g.Suspicions = append(d.g.Suspicions, blackboard.Suspicion{
		Host:        host,
		Incarnation: d.members[host].Incarnation,
		Deadline:    deadline,
		NotifyAt:    tellAt,
	})
}

// takeTable merges the records of a peer's table. A few changes are passed on
// as rumours; many are left to further exchanges of tables.
func (d *draft) takeTable(m blackboard.SyncReceived) {
	d.now = m.Now
	var changed []string
	for _, r := range m.Records {
		if d.merge(r, sourceTable) {
			changed = append(changed, r.GetHost())
		}
	}
	if len(changed) <= maxBulkRumours {
		for _, host := range changed {
			d.addRumour(host)
		}
	}
	if !m.Started {
		return
	}
	d.g.Synced = true
	d.g.AddedSinceSync = 0
	d.g.SyncDeadline = time.Time{}
	d.g.NextSync = d.now.Add(d.jitter(syncPeriod))
	if len(changed) > maxBulkRumours {
		d.g.NextSync = d.now.Add(d.jitter(syncRetryPeriod))
	}
}

// ownTarget returns the record of this host's target as the announcer left it.
func ownTarget(s *blackboard.State) blackboard.TargetRecord {
	record := s.Target.Record
	if record.Phase == "" {
		record.Phase = blackboard.TargetNone
	}
	return record
}

// publishTarget takes a change of the announcer's record into the own member record.
func (d *draft) publishTarget() {
	own := d.own()
	if own.Target == ownTarget(d.state) {
		return
	}
	own.Target = ownTarget(d.state)
	d.setMember(own)
	d.addRumour(own.Host)
}
