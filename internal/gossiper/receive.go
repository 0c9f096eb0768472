package gossiper

import (
	"slices"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// receive handles one packet of a peer.
func (d *draft) receive(m blackboard.PacketReceived) {
	d.now = m.Now
	p := m.Packet
	if d.g.Left || p.GetHost() == d.self.Host {
		return
	}
	_, known := d.members[p.GetHost()]
	for _, r := range p.GetMembers() {
		if d.merge(r, sourceRumour) {
			d.addRumour(r.GetHost())
		}
	}
	switch p.GetKind() {
	case wirepb.GossipKind_GOSSIP_KIND_PING:
		d.acknowledge(m, known)
	case wirepb.GossipKind_GOSSIP_KIND_ACK:
		d.acknowledged(p)
	case wirepb.GossipKind_GOSSIP_KIND_PING_REQUEST:
		d.help(m)
	case wirepb.GossipKind_GOSSIP_KIND_PING_ACCEPTED:
		d.helped(p)
	}
	d.compare(p)
}

// acknowledge answers a ping. A ping meant for another host at this address gets no answer.
func (d *draft) acknowledge(m blackboard.PacketReceived, known bool) {
	p := m.Packet
	if p.GetProbedHost() != "" && p.GetProbedHost() != d.self.Host {
		return
	}
	var first []*wirepb.MemberRecord
	if p.GetProbedHost() == "" || !known {
		first = append(first, fullRecord(d.own()))
	}
	first = append(first, d.correction(p)...)
	if !known {
		for _, sample := range d.randomLive(sampleMembers, anyMember) {
			first = append(first, fullRecord(sample))
		}
	}
	d.send(m.From, d.packet(wirepb.GossipKind_GOSSIP_KIND_ACK, p.GetSequence()), first...)
}

// correction tells the sender what this node believes of it, when the sender must refute it.
func (d *draft) correction(p *wirepb.GossipPacket) []*wirepb.MemberRecord {
	m, known := d.members[p.GetHost()]
	if !known {
		return nil
	}
	outranked := m.Incarnation > p.GetIncarnation()
	accused := m.Incarnation == p.GetIncarnation() && m.Status != blackboard.MemberAlive
	if !outranked && !accused {
		return nil
	}
	return []*wirepb.MemberRecord{fullRecord(m)}
}

// acknowledged settles the probe under way, or passes the answer on to who asked.
func (d *draft) acknowledged(p *wirepb.GossipPacket) {
	if p.GetSequence() == 0 {
		return
	}
	if d.g.Probe.Host != "" && p.GetSequence() == d.g.Probe.Sequence {
		d.g.Probe = blackboard.Probe{}
		d.lowerScore()
		return
	}
	i := slices.IndexFunc(d.g.Relayed, func(r blackboard.RelayedProbe) bool { return r.Sequence == p.GetSequence() })
	if i < 0 {
		return
	}
	relayed := d.g.Relayed[i]
	d.g.Relayed = slices.Concat(d.g.Relayed[:i], d.g.Relayed[i+1:])
	d.send(relayed.Address, d.packet(wirepb.GossipKind_GOSSIP_KIND_ACK, relayed.RequesterSequence))
}

// help pings a host for another member.
func (d *draft) help(m blackboard.PacketReceived) {
	p := m.Packet
	if p.GetProbedHost() == "" || p.GetProbedAddress() == "" || len(d.g.Relayed) >= maxRelayed {
		return
	}
	d.g.Sequence++
	d.g.Relayed = slices.Concat(d.g.Relayed, []blackboard.RelayedProbe{{
		Sequence:          d.g.Sequence,
		RequesterSequence: p.GetSequence(),
		Address:           m.From,
		Deadline:          d.now.Add(probeTimeout),
	}})
	ping := d.packet(wirepb.GossipKind_GOSSIP_KIND_PING, d.g.Sequence)
	ping.ProbedHost = p.GetProbedHost()
	d.send(p.GetProbedAddress(), ping)
	d.send(m.From, d.packet(wirepb.GossipKind_GOSSIP_KIND_PING_ACCEPTED, p.GetSequence()))
}

// helped notes that a helper is reachable: the fault is then not this node's own.
func (d *draft) helped(p *wirepb.GossipPacket) {
	if p.GetSequence() == d.g.Probe.Sequence {
		d.g.Probe.HelperAnswered = true
	}
}

// compare starts an exchange of tables when the peer's table differs.
func (d *draft) compare(p *wirepb.GossipPacket) {
	if p.GetMemberDigest() == tableDigest(&d.g.BucketDigests) {
		return
	}
	if d.now.Before(d.g.NextSync) || !d.g.SyncDeadline.IsZero() {
		return
	}
	peer, known := d.members[p.GetHost()]
	if !known || gone(peer.Status) {
		return
	}
	d.startSync(peer)
}
