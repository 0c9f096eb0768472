package gossiper

import (
	"slices"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// startProbe pings the next member of the round.
func (d *draft) startProbe() {
	if d.g.Probe.Host != "" || d.now.Before(d.g.NextProbe) {
		return
	}
	d.g.NextProbe = d.g.NextProbe.Add(probePeriod)
	if d.g.NextProbe.Before(d.now) {
		d.g.NextProbe = d.now.Add(probePeriod)
	}
	m, found := d.nextProbed()
	if !found {
		return
	}
	d.g.Sequence++
	d.g.Probe = blackboard.Probe{
		Host:     m.Host,
		Sequence: d.g.Sequence,
		RetryAt:  d.now.Add(d.stretch(retryPeriod)),
		Deadline: d.now.Add(d.stretch(probeTimeout)),
	}
	d.ping(m, d.g.Sequence)
}

// nextProbed returns the next live member of the round, and shuffles a new round after the last.
func (d *draft) nextProbed() (blackboard.Member, bool) {
	for range 2 {
		for d.g.NextProbeIndex < len(d.g.ProbeOrder) {
			m, known := d.members[d.g.ProbeOrder[d.g.NextProbeIndex]]
			d.g.NextProbeIndex++
			if known && !gone(m.Status) {
				return m, true
			}
		}
		d.newRound()
	}
	return blackboard.Member{}, false
}

func (d *draft) newRound() {
	order := make([]string, 0, len(d.members))
	for host, m := range d.members {
		if host != d.self.Host && !gone(m.Status) {
			order = append(order, host)
		}
	}
	slices.Sort(order)
	d.rand().Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	d.g.ProbeOrder = order
	d.g.NextProbeIndex = 0
	d.orderCopied = true
}

// settleProbe pings again when the answer is late, and suspects the host when time is up.
func (d *draft) settleProbe() {
	probe := &d.g.Probe
	if probe.Host == "" {
		return
	}
	m := d.members[probe.Host]
	if gone(m.Status) || m.Host == "" {
		d.g.Probe = blackboard.Probe{}
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

// retryProbe pings the member again and asks helpers to do so.
func (d *draft) retryProbe(m blackboard.Member) {
	d.ping(m, d.g.Probe.Sequence)
	asked := d.randomLive(helpers, func(h blackboard.Member) bool { return h.Host != m.Host })
	d.g.Probe.RetryAt = d.now.Add(d.stretch(retryPeriod))
	d.g.Probe.Helpers += len(asked)
	for _, h := range asked {
		p := d.packet(wirepb.GossipKind_GOSSIP_KIND_PING_REQUEST, d.g.Probe.Sequence)
		p.ProbedHost = m.Host
		p.ProbedAddress = m.Address
		d.send(h.Address, p)
	}
}

// failProbe suspects the probed member. When no helper answered either, this node itself may be cut off.
func (d *draft) failProbe(m blackboard.Member) {
	if d.g.Probe.Helpers > 0 && !d.g.Probe.HelperAnswered {
		d.raiseScore()
	}
	d.g.Probe = blackboard.Probe{}
	if m.Status != blackboard.MemberAlive {
		return
	}
	m.Status = blackboard.MemberSuspect
	m.ChangedAt = d.now
	d.setMember(m)
	d.suspect(m.Host)
	d.addRumour(m.Host)
}

// settleSuspicions tells suspects, drops void suspicions, and declares those dead whose deadline passed.
func (d *draft) settleSuspicions() {
	if len(d.g.Suspicions) == 0 {
		return
	}
	kept := make([]blackboard.Suspicion, 0, len(d.g.Suspicions))
	tells := 0
	for _, s := range d.g.Suspicions {
		m := d.members[s.Host]
		if m.Status != blackboard.MemberSuspect || m.Incarnation != s.Incarnation {
			continue
		}
		if !d.now.Before(s.Deadline) {
			d.declareDead(m)
			continue
		}
		if !d.now.Before(s.NotifyAt) && tells < maxTellsPerTick {
			tells++
			s.NotifyAt = d.now.Add(tellPeriod)
			d.ping(m, 0)
		}
		kept = append(kept, s)
	}
	d.g.Suspicions = kept
}

func (d *draft) declareDead(m blackboard.Member) {
	m.Status = blackboard.MemberDead
	m.ChangedAt = d.now
	m.ForgetAt = d.now.Add(ForgetAfter)
	d.setMember(m)
	d.addRumour(m.Host)
}
