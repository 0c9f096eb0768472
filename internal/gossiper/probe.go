package gossiper

import (
	"slices"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// startProbe pings the next member of the round when a probe is due and none is in progress.
func (d *draft) startProbe() {
	if d.gossip.Probe.Host != "" || d.now.Before(d.gossip.NextProbe) {
		return
	}
	d.gossip.NextProbe = d.gossip.NextProbe.Add(probePeriod)
	if d.gossip.NextProbe.Before(d.now) {
		d.gossip.NextProbe = d.now.Add(probePeriod)
	}
	m, found := d.nextProbeMember()
	if !found {
		return
	}
	d.gossip.Sequence++
	d.gossip.Probe = blackboard.Probe{
		Host:     m.Host,
		Sequence: d.gossip.Sequence,
		RetryAt:  d.now.Add(d.scaleByHealth(retryPeriod)),
		Deadline: d.now.Add(d.scaleByHealth(probeTimeout)),
	}
	d.ping(m, d.gossip.Sequence)
}

// nextProbeMember returns the next live member of the round, and starts a new round after the last.
func (d *draft) nextProbeMember() (blackboard.Member, bool) {
	for range 2 {
		for d.gossip.NextProbeIndex < len(d.gossip.ProbeOrder) {
			m, known := d.members[d.gossip.ProbeOrder[d.gossip.NextProbeIndex]]
			d.gossip.NextProbeIndex++
			if known && !isGone(m.Status) {
				return m, true
			}
		}
		d.startProbeRound()
	}
	return blackboard.Member{}, false
}

func (d *draft) startProbeRound() {
	order := make([]string, 0, len(d.members))
	for host, m := range d.members {
		if host != d.self.Host && !isGone(m.Status) {
			order = append(order, host)
		}
	}
	slices.Sort(order)
	d.rand().Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	d.gossip.ProbeOrder = order
	d.gossip.NextProbeIndex = 0
	d.probeOrderCopied = true
}

// checkProbe pings again when no answer has come in time, and suspects the host after the deadline.
func (d *draft) checkProbe() {
	probe := &d.gossip.Probe
	if probe.Host == "" {
		return
	}
	m := d.members[probe.Host]
	if isGone(m.Status) || m.Host == "" {
		d.gossip.Probe = blackboard.Probe{}
		return
	}
	if !d.now.Before(probe.Deadline) {
		d.failProbe(m)
		return
	}
	if !d.now.Before(probe.RetryAt) {
		d.retryProbe(m)
	}
}

// retryProbe pings the member again and asks helpers to ping it too.
func (d *draft) retryProbe(m blackboard.Member) {
	d.ping(m, d.gossip.Probe.Sequence)
	asked := d.randomLive(helpersPerRound, func(h blackboard.Member) bool { return h.Host != m.Host })
	d.gossip.Probe.RetryAt = d.now.Add(d.scaleByHealth(retryPeriod))
	d.gossip.Probe.Helpers += len(asked)
	for _, h := range asked {
		p := d.newPacket(wirepb.GossipKind_GOSSIP_KIND_PING_REQUEST, d.gossip.Probe.Sequence)
		p.ProbedHost = m.Host
		p.ProbedAddress = m.Address
		d.send(h.Address, p)
	}
}

// failProbe suspects the probed member. If no helper answered either, this node
// itself may be cut off, so its health score rises.
func (d *draft) failProbe(m blackboard.Member) {
	if d.gossip.Probe.Helpers > 0 && !d.gossip.Probe.HelperAnswered {
		d.raiseHealthScore()
	}
	d.gossip.Probe = blackboard.Probe{}
	if m.Status != blackboard.MemberAlive {
		return
	}
	m.Status = blackboard.MemberSuspect
	m.ChangedAt = d.now
	d.setMember(m)
	d.startSuspicion(m.Host)
	d.addRumour(m.Host)
}

// checkSuspicions notifies suspects, drops suspicions that no longer apply, and
// declares members dead whose deadline has passed.
func (d *draft) checkSuspicions() {
	if len(d.gossip.Suspicions) == 0 {
		return
	}
	kept := make([]blackboard.Suspicion, 0, len(d.gossip.Suspicions))
	notices := 0
	for _, s := range d.gossip.Suspicions {
		m := d.members[s.Host]
		if m.Status != blackboard.MemberSuspect || m.Incarnation != s.Incarnation {
			continue
		}
		if !d.now.Before(s.Deadline) {
			d.declareDead(m)
			continue
		}
		if !d.now.Before(s.NotifyAt) && notices < maxSuspicionNoticesPerTick {
			notices++
			s.NotifyAt = d.now.Add(suspicionNoticePeriod)
			d.ping(m, 0)
		}
		kept = append(kept, s)
	}
	d.gossip.Suspicions = kept
}

func (d *draft) declareDead(m blackboard.Member) {
	m.Status = blackboard.MemberDead
	m.ChangedAt = d.now
	m.ForgetAt = d.now.Add(ForgetAfter)
	d.setMember(m)
	d.addRumour(m.Host)
}
