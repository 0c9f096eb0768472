package gossiper

import (
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// tick performs the periodic work that is due.
func (d *draft) tick(now time.Time) {
	d.now = now
	if d.gossip.LastTick.IsZero() {
		d.initialise()
	}
	gap := now.Sub(d.gossip.LastTick)
	d.gossip.LastTick = now
	if gap > pauseThreshold {
		d.resumeAfterPause(gap)
	}
	d.gossip.SendBudgetBytes = min(recordBurstBytes, d.gossip.SendBudgetBytes+int(gap.Milliseconds())*recordBytesPerSec/1000)
	if d.gossip.Left {
		return
	}
	d.checkProbe()
	d.startProbe()
	d.checkSuspicions()
	d.checkSyncTimeout()
	d.sendRumours()
	d.join()
	d.removeExpiredMembers()
	d.gossip.Relayed = dropExpired(d.gossip.Relayed, now)
}

// initialise sets up the timers at the first tick. Random delays spread the
// first probes and searches of hosts that start together.
func (d *draft) initialise() {
	d.gossip.LastTick = d.now
	d.gossip.SendBudgetBytes = recordBurstBytes
	d.gossip.NextProbe = d.now.Add(d.randomBelow(probePeriod))
	d.gossip.NextPeerSearch = d.now.Add(d.randomBelow(findBackoffBase))
	d.gossip.NextForget = d.now.Add(forgetPeriod)
	own := d.ownMember()
	own.ChangedAt = d.now
	d.setMember(own)
	d.addRumour(d.self.Host)
}

// resumeAfterPause drops the probe in progress and extends the deadlines of
// suspicions by the time that this process was paused, since no answer could
// have reached it meanwhile.
func (d *draft) resumeAfterPause(gap time.Duration) {
	d.gossip.Probe = blackboard.Probe{}
	d.gossip.NextProbe = d.now.Add(d.randomBelow(probePeriod))
	d.raiseHealthScore()
	d.gossip.Suspicions = slices.Clone(d.gossip.Suspicions)
	for i := range d.gossip.Suspicions {
		d.gossip.Suspicions[i].Deadline = d.gossip.Suspicions[i].Deadline.Add(gap)
	}
}

func dropExpired(relayed []blackboard.RelayedProbe, now time.Time) []blackboard.RelayedProbe {
	expired := func(r blackboard.RelayedProbe) bool { return !now.Before(r.Deadline) }
	if !slices.ContainsFunc(relayed, expired) {
		return relayed
	}
	return slices.DeleteFunc(slices.Clone(relayed), expired)
}

// sendRumours sends the queued rumours to a few members.
func (d *draft) sendRumours() {
	if len(d.gossip.Rumours) == 0 || d.now.Before(d.gossip.NextGossip) {
		return
	}
	if d.gossip.SendBudgetBytes < minSendBudgetBytes && !d.hasRumour(d.self.Host) {
		return
	}
	d.gossip.NextGossip = d.now.Add(gossipPeriod)
	for _, m := range d.randomLive(gossipFanout, anyMember) {
		d.send(m.Address, d.newPacket(wirepb.GossipKind_GOSSIP_KIND_RUMOUR, 0))
	}
}

// hasRumour reports whether a host's record is queued as a rumour.
func (d *draft) hasRumour(host string) bool {
	return slices.ContainsFunc(d.gossip.Rumours, func(r blackboard.Rumour) bool { return r.Host == host })
}

// removeExpiredMembers removes members that died or left and whose retention has expired.
func (d *draft) removeExpiredMembers() {
	if d.now.Before(d.gossip.NextForget) {
		return
	}
	d.gossip.NextForget = d.now.Add(forgetPeriod)
	var expired []string
	for host, m := range d.members {
		if isGone(m.Status) && host != d.self.Host && !d.now.Before(m.ForgetAt) {
			expired = append(expired, host)
		}
	}
	for _, host := range expired {
		d.removeMember(host)
	}
}

// leave marks this node as left and sends its record to some members immediately.
func (d *draft) leave(now time.Time) {
	if d.gossip.Left {
		return
	}
	d.now = now
	own := d.ownMember()
	own.Status = blackboard.MemberLeft
	own.ChangedAt = now
	own.ForgetAt = now.Add(ForgetAfter)
	d.setMember(own)
	d.addRumour(own.Host)
	for _, m := range d.randomLive(leaveFanout, anyMember) {
		d.send(m.Address, d.newPacket(wirepb.GossipKind_GOSSIP_KIND_RUMOUR, 0), fullRecord(own))
	}
	d.gossip.Left = true
}
