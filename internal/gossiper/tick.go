package gossiper

import (
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// tick does whatever is due.
func (d *draft) tick(now time.Time) {
	d.now = now
	if d.g.LastTick.IsZero() {
		d.begin()
	}
	gap := now.Sub(d.g.LastTick)
	d.g.LastTick = now
	if gap > pauseThreshold {
		d.wake(gap)
	}
	d.g.SendBudgetBytes = min(recordBytesBurst, d.g.SendBudgetBytes+int(gap.Milliseconds())*recordBytesPerSec/1000)
	if d.g.Left {
		return
	}
	d.settleProbe()
	d.startProbe()
	d.settleSuspicions()
	d.settleSync()
	d.gossip()
	d.join()
	d.forget()
	d.g.Relayed = dropExpired(d.g.Relayed, now)
}

// begin spreads the first probes and searches of hosts that start together.
func (d *draft) begin() {
	d.g.LastTick = d.now
	d.g.SendBudgetBytes = recordBytesBurst
	d.g.NextProbe = d.now.Add(d.upTo(probePeriod))
	d.g.NextPeerSearch = d.now.Add(d.upTo(findDelay))
	d.g.NextForget = d.now.Add(forgetPeriod)
	own := d.own()
	own.ChangedAt = d.now
	d.setMember(own)
	d.addRumour(d.self.Host)
}

// wake moves deadlines by the time that this process stood still, since nobody
// could have answered it meanwhile.
func (d *draft) wake(gap time.Duration) {
	d.g.Probe = blackboard.Probe{}
	d.g.NextProbe = d.now.Add(d.upTo(probePeriod))
	d.raiseScore()
	d.g.Suspicions = slices.Clone(d.g.Suspicions)
	for i := range d.g.Suspicions {
		d.g.Suspicions[i].Deadline = d.g.Suspicions[i].Deadline.Add(gap)
	}
}

func dropExpired(relayed []blackboard.RelayedProbe, now time.Time) []blackboard.RelayedProbe {
	expired := func(r blackboard.RelayedProbe) bool { return !now.Before(r.Deadline) }
	if !slices.ContainsFunc(relayed, expired) {
		return relayed
	}
	return slices.DeleteFunc(slices.Clone(relayed), expired)
}

// gossip sends rumours to a few members while there are any.
func (d *draft) gossip() {
	if len(d.g.Rumours) == 0 || d.now.Before(d.g.NextGossip) {
		return
	}
	if d.g.SendBudgetBytes < minAllowance && !d.queued(d.self.Host) {
		return
	}
	d.g.NextGossip = d.now.Add(gossipPeriod)
	for _, m := range d.randomLive(gossipFanout, anyMember) {
		d.send(m.Address, d.packet(wirepb.GossipKind_GOSSIP_KIND_RUMOUR, 0))
	}
}

// queued tells whether a host's record is being passed on.
func (d *draft) queued(host string) bool {
	return slices.ContainsFunc(d.g.Rumours, func(r blackboard.Rumour) bool { return r.Host == host })
}

// forget drops the dead whose time has come.
func (d *draft) forget() {
	if d.now.Before(d.g.NextForget) {
		return
	}
	d.g.NextForget = d.now.Add(forgetPeriod)
	var expired []string
	for host, m := range d.members {
		if gone(m.Status) && host != d.self.Host && !d.now.Before(m.ForgetAt) {
			expired = append(expired, host)
		}
	}
	for _, host := range expired {
		d.removeMember(host)
	}
}

// leave tells some members at once that this node is going.
func (d *draft) leave(now time.Time) {
	if d.g.Left {
		return
	}
	d.now = now
	own := d.own()
	own.Status = blackboard.MemberLeft
	own.ChangedAt = now
	own.ForgetAt = now.Add(ForgetAfter)
	d.setMember(own)
	d.addRumour(own.Host)
	for _, m := range d.randomLive(leaveFanout, anyMember) {
		d.send(m.Address, d.packet(wirepb.GossipKind_GOSSIP_KIND_RUMOUR, 0), fullRecord(own))
	}
	d.g.Left = true
}
