package gossiper

import (
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// source is the way in which a record reached this node.
type source int

const (
	// sourceRumour is a recent change that spreads by packets.
	sourceRumour source = iota
	// sourceTable is an exchanged table, whose records of dead members may be outdated.
	sourceTable
)

// merge merges one record into the table and reports whether it added or changed the record of another host.
func (d *draft) merge(r *wirepb.MemberRecord, from source) bool {
	if r.GetHost() == d.self.Host {
		return d.refute(r)
	}
	old, known := d.members[r.GetHost()]
	if r.GetAddress() == "" && !known {
		return false
	}
	next := memberFromRecord(r, d.self.DataCentre, d.now)
	if r.GetAddress() == "" {
		next.Address, next.Rack, next.Target = old.Address, old.Rack, old.Target
	}
	if !known {
		return d.admit(next)
	}
	return d.replace(old, next, from)
}

// admit adds a host that is not in the table, unless the table is full or the
// host's record has expired. It reports whether the host was added.
func (d *draft) admit(next blackboard.Member) bool {
	if len(d.members) >= MaxMembers {
		return false
	}
	if isGone(next.Status) && !next.ForgetAt.After(d.now) {
		return false
	}
	d.setMember(next)
	if next.Status == blackboard.MemberSuspect {
		d.startRelayedSuspicion(next.Host)
	}
	d.countAdded()
	return true
}

// countAdded counts a new host, and brings the next exchange of tables
// forward once many are new: then more are likely to be missing than rumours carry.
func (d *draft) countAdded() {
	d.gossip.AddedSinceSync++
	if d.gossip.AddedSinceSync == maxRumoursPerSync && d.gossip.SyncDeadline.IsZero() {
		d.gossip.NextSync = earlier(d.gossip.NextSync, d.now.Add(d.jitter(syncRetryPeriod)))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// replace merges a record of a known host, in which the greater incarnation
// wins. Within one incarnation, the state of higher precedence and the target of
// the greater revision win.
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
	if statusPrecedence(next.Status) > statusPrecedence(old.Status) {
		merged.Status = next.Status
		merged.ChangedAt = d.now
		merged.ForgetAt = next.ForgetAt
	}
	return d.store(old, merged, from)
}

// supersede replaces a record by one of a greater incarnation.
func (d *draft) supersede(old, next blackboard.Member, from source) bool {
	if next.Status == old.Status {
		next.ChangedAt = old.ChangedAt
	}
	return d.store(old, next, from)
}

// store writes a record and reports whether it changed. An exchanged table
// cannot declare a live member dead: the member becomes suspect instead, and is
// notified so that it can refute.
func (d *draft) store(old, next blackboard.Member, from source) bool {
	isUnconfirmedDeath := from == sourceTable && next.Status == blackboard.MemberDead && !isGone(old.Status)
	if isUnconfirmedDeath {
		next.Status = blackboard.MemberSuspect
		next.ForgetAt = time.Time{}
	}
	if next == old {
		return false
	}
	if isGone(next.Status) && next.ForgetAt.IsZero() {
		next.ForgetAt = d.now.Add(ForgetAfter)
	}
	d.setMember(next)
	isNewSuspicion := old.Status != blackboard.MemberSuspect || next.Incarnation > old.Incarnation
	switch {
	case next.Status != blackboard.MemberSuspect || !isNewSuspicion:
	case isUnconfirmedDeath:
		d.startSuspicion(next.Host)
	default:
		d.startRelayedSuspicion(next.Host)
	}
	return true
}

// refute handles a record about this node itself. Whatever the record says, the
// node's own record changes only in that its incarnation is raised above the record's.
func (d *draft) refute(r *wirepb.MemberRecord) bool {
	own := d.ownMember()
	isNewerIncarnation := r.GetIncarnation() > own.Incarnation
	isAccused := r.GetIncarnation() == own.Incarnation &&
		(r.GetState() != wirepb.MemberState_MEMBER_STATE_ALIVE || r.GetRevision() > own.Target.Revision)
	if d.gossip.Left || (!isNewerIncarnation && !isAccused) {
		return false
	}
	if r.GetState() == wirepb.MemberState_MEMBER_STATE_SUSPECT {
		d.raiseHealthScore()
	}
	own.Incarnation = r.GetIncarnation() + 1
	d.setMember(own)
	d.addRumour(own.Host)
	return false
}

// startSuspicion stores the deadline by which a member must refute, and has it notified from now on.
func (d *draft) startSuspicion(host string) {
	d.addSuspicion(host, d.now.Add(d.scaleByHealth(suspicionTimeout)), d.now)
}

// startRelayedSuspicion stores the deadline of a suspicion that another node
// raised. The member is notified only after that node should have decided.
func (d *draft) startRelayedSuspicion(host string) {
	notifyAt := d.now.Add(d.scaleByHealth(suspicionTimeout))
	d.addSuspicion(host, notifyAt.Add(relayedSuspicionExtension), notifyAt)
}

func (d *draft) addSuspicion(host string, deadline, notifyAt time.Time) {
	if !d.suspicionsCopied {
		d.gossip.Suspicions = slices.Clone(d.gossip.Suspicions)
		d.suspicionsCopied = true
	}
	d.gossip.Suspicions = append(d.gossip.Suspicions, blackboard.Suspicion{
		Host:        host,
		Incarnation: d.members[host].Incarnation,
		Deadline:    deadline,
		NotifyAt:    notifyAt,
	})
}

// mergeTable merges the records of a peer's table. The changes are passed on as
// rumours, unless there are more than maxRumoursPerSync: those are left to
// further exchanges of tables.
func (d *draft) mergeTable(m blackboard.SyncReceived) {
	d.now = m.Now
	var changed []string
	for _, r := range m.Records {
		if d.merge(r, sourceTable) {
			changed = append(changed, r.GetHost())
		}
	}
	if len(changed) <= maxRumoursPerSync {
		for _, host := range changed {
			d.addRumour(host)
		}
	}
	if !m.Started {
		return
	}
	d.gossip.Synced = true
	d.gossip.AddedSinceSync = 0
	d.gossip.SyncDeadline = time.Time{}
	d.gossip.NextSync = d.now.Add(d.jitter(syncPeriod))
	if len(changed) > maxRumoursPerSync {
		d.gossip.NextSync = d.now.Add(d.jitter(syncRetryPeriod))
	}
}

// ownTarget returns the announcer's record of this host's target.
func ownTarget(s *blackboard.State) blackboard.TargetRecord {
	record := s.Target.Record
	if record.Phase == "" {
		record.Phase = blackboard.TargetNone
	}
	return record
}

// publishTarget copies a change of the announcer's record to this node's member record.
func (d *draft) publishTarget() {
	own := d.ownMember()
	if own.Target == ownTarget(d.state) {
		return
	}
	own.Target = ownTarget(d.state)
	d.setMember(own)
	d.addRumour(own.Host)
}
