package gossiper

import (
	"slices"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// handlePacket handles one packet from a peer.
func (d *draft) handlePacket(m blackboard.PacketReceived) {
	d.now = m.Now
	p := m.Packet
	if d.gossip.Left || p.GetHost() == d.self.Host {
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
		d.answerPing(m, known)
	case wirepb.GossipKind_GOSSIP_KIND_ACK:
		d.handleAck(p)
	case wirepb.GossipKind_GOSSIP_KIND_PING_REQUEST:
		d.handlePingRequest(m)
	case wirepb.GossipKind_GOSSIP_KIND_PING_ACCEPTED:
		d.handlePingAccepted(p)
	}
	d.compareDigests(p)
}

// answerPing acknowledges a ping, unless it is meant for another host at this address.
func (d *draft) answerPing(m blackboard.PacketReceived, known bool) {
	p := m.Packet
	if p.GetProbedHost() != "" && p.GetProbedHost() != d.self.Host {
		return
	}
	var records []*wirepb.MemberRecord
	if p.GetProbedHost() == "" || !known {
		records = append(records, fullRecord(d.ownMember()))
	}
	records = append(records, d.correction(p)...)
	if !known {
		for _, sample := range d.randomLive(joinSampleMembers, anyMember) {
			records = append(records, fullRecord(sample))
		}
	}
	d.send(m.From, d.newPacket(wirepb.GossipKind_GOSSIP_KIND_ACK, p.GetSequence()), records...)
}

// correction returns this node's record of the sender if the sender has to refute it, and nothing otherwise.
func (d *draft) correction(p *wirepb.GossipPacket) []*wirepb.MemberRecord {
	m, known := d.members[p.GetHost()]
	if !known {
		return nil
	}
	isOutdated := m.Incarnation > p.GetIncarnation()
	isAccused := m.Incarnation == p.GetIncarnation() && m.Status != blackboard.MemberAlive
	if !isOutdated && !isAccused {
		return nil
	}
	return []*wirepb.MemberRecord{fullRecord(m)}
}

// handleAck completes the probe in progress, or passes the answer on to the member that requested the ping.
func (d *draft) handleAck(p *wirepb.GossipPacket) {
	if p.GetSequence() == 0 {
		return
	}
	if d.gossip.Probe.Host != "" && p.GetSequence() == d.gossip.Probe.Sequence {
		d.gossip.Probe = blackboard.Probe{}
		d.lowerHealthScore()
		return
	}
	i := slices.IndexFunc(d.gossip.Relayed, func(r blackboard.RelayedProbe) bool { return r.Sequence == p.GetSequence() })
	if i < 0 {
		return
	}
	relayed := d.gossip.Relayed[i]
	d.gossip.Relayed = slices.Concat(d.gossip.Relayed[:i], d.gossip.Relayed[i+1:])
	d.send(relayed.Address, d.newPacket(wirepb.GossipKind_GOSSIP_KIND_ACK, relayed.RequesterSequence))
}

// handlePingRequest pings a host on behalf of another member, and tells that member so.
func (d *draft) handlePingRequest(m blackboard.PacketReceived) {
	p := m.Packet
	if p.GetProbedHost() == "" || p.GetProbedAddress() == "" || len(d.gossip.Relayed) >= maxRelayedProbes {
		return
	}
	d.gossip.Sequence++
	d.gossip.Relayed = slices.Concat(d.gossip.Relayed, []blackboard.RelayedProbe{{
		Sequence:          d.gossip.Sequence,
		RequesterSequence: p.GetSequence(),
		Address:           m.From,
		Deadline:          d.now.Add(probeTimeout),
	}})
	ping := d.newPacket(wirepb.GossipKind_GOSSIP_KIND_PING, d.gossip.Sequence)
	ping.ProbedHost = p.GetProbedHost()
	d.send(p.GetProbedAddress(), ping)
	d.send(m.From, d.newPacket(wirepb.GossipKind_GOSSIP_KIND_PING_ACCEPTED, p.GetSequence()))
}

// handlePingAccepted records that a helper is reachable: if the probe fails, this node is not the cause.
func (d *draft) handlePingAccepted(p *wirepb.GossipPacket) {
	if p.GetSequence() == d.gossip.Probe.Sequence {
		d.gossip.Probe.HelperAnswered = true
	}
}

// compareDigests starts an exchange of tables when the peer's table differs.
func (d *draft) compareDigests(p *wirepb.GossipPacket) {
	if p.GetMemberDigest() == tableDigest(&d.gossip.BucketDigests) {
		return
	}
	if d.now.Before(d.gossip.NextSync) || !d.gossip.SyncDeadline.IsZero() {
		return
	}
	peer, known := d.members[p.GetHost()]
	if !known || isGone(peer.Status) {
		return
	}
	d.startSync(peer)
}
