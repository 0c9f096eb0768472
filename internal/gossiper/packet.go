package gossiper

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// SendPacket is the effect of sending one packet.
type SendPacket struct {
	// Address of the receiver, as ip:port.
	Address string
	// Data is at most MaxPacketBytes long.
	Data []byte
}

// recordOverhead is the tag and the length in front of a record, in bytes.
const recordOverhead = 3

// packet starts a packet of the given kind.
func (d *draft) packet(kind wirepb.GossipKind, sequence uint64) *wirepb.GossipPacket {
	p := &wirepb.GossipPacket{
		Kind:         kind,
		Sequence:     sequence,
		DataCentre:   d.self.DataCentre,
		Host:         d.self.Host,
		Incarnation:  d.own().Incarnation,
		MemberDigest: tableDigest(&d.g.BucketDigests),
	}
	if d.state.Config.Running != nil {
		p.Version = d.state.Config.Running.Version
	}
	return p
}

// send fills a packet with the given records and with rumours, and sends it.
func (d *draft) send(address string, p *wirepb.GossipPacket, first ...*wirepb.MemberRecord) {
	free := MaxPacketBytes - proto.Size(p)
	for _, r := range first {
		if size := proto.Size(r) + recordOverhead; size <= free {
			p.Members = append(p.Members, r)
			free -= size
		}
	}
	d.fill(p, free)
	data, err := proto.Marshal(p)
	if err != nil {
		return
	}
	d.effects = append(d.effects, SendPacket{Address: address, Data: data})
}

// fill adds rumours, those sent least first, as far as the packet and the
// allowance reach. The own record goes out even without an allowance, so that a
// refutation never waits.
func (d *draft) fill(p *wirepb.GossipPacket, free int) {
	if len(d.g.Rumours) == 0 {
		return
	}
	limit := sendsPerRumour(d.g.LiveMembers)
	next := make([]blackboard.Rumour, 0, len(d.g.Rumours))
	var sent []blackboard.Rumour
	for i, rumour := range d.g.Rumours {
		m, known := d.members[rumour.Host]
		if !known || !d.now.Before(rumour.Expires) {
			continue
		}
		if d.g.SendBudgetBytes < minAllowance && rumour.Host != d.self.Host {
			next = append(next, rumour)
			continue
		}
		r := rumourRecord(m)
		size := proto.Size(r) + recordOverhead
		if size > free {
			next = append(next, d.g.Rumours[i:]...)
			break
		}
		p.Members = append(p.Members, r)
		free -= size
		d.g.SendBudgetBytes -= size
		if rumour.Sends++; rumour.Sends < limit {
			sent = append(sent, rumour)
		}
	}
	d.g.Rumours = slices.Concat(next, sent)
	d.rumoursCopied = true
}

// sendsPerRumour grows with the logarithm of the number of members, so that a
// rumour reaches all of them with high probability.
func sendsPerRumour(live int) int {
	sends := minSendsPerRumour
	for n := live; n > 0; n /= 2 {
		sends++
	}
	return sends
}

// ping sends a ping to a member. A member that this node does not hold alive is
// told so, that it may refute.
func (d *draft) ping(m blackboard.Member, sequence uint64) {
	p := d.packet(wirepb.GossipKind_GOSSIP_KIND_PING, sequence)
	p.ProbedHost = m.Host
	if m.Status != blackboard.MemberAlive {
		d.send(m.Address, p, fullRecord(d.own()), fullRecord(m))
		return
	}
	d.send(m.Address, p)
}

// contact pings an address whose host is not known.
func (d *draft) contact(address string) {
	p := d.packet(wirepb.GossipKind_GOSSIP_KIND_PING, 0)
	d.send(address, p, fullRecord(d.own()))
}
