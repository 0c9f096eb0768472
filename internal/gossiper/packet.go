package gossiper

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// SendPacket is the effect of sending one packet.
type SendPacket struct {
	// Address is the receiver's address, as ip:port.
	Address string
	// Data is at most MaxPacketBytes long.
	Data []byte
}

// recordOverheadBytes is the size of the tag and the length in front of a record.
const recordOverheadBytes = 3

// newPacket returns a packet of the given kind without records.
func (d *draft) newPacket(kind wirepb.GossipKind, sequence uint64) *wirepb.GossipPacket {
	p := &wirepb.GossipPacket{
		Kind:         kind,
		Sequence:     sequence,
		DataCentre:   d.self.DataCentre,
		Host:         d.self.Host,
		Incarnation:  d.ownMember().Incarnation,
		MemberDigest: tableDigest(&d.gossip.BucketDigests),
	}
	if d.state.Config.Running != nil {
		p.Version = d.state.Config.Running.Version
	}
	return p
}

// send adds the given records, then rumours, to a packet as far as they fit, and sends it.
func (d *draft) send(address string, p *wirepb.GossipPacket, records ...*wirepb.MemberRecord) {
	freeBytes := MaxPacketBytes - proto.Size(p)
	for _, r := range records {
		if size := proto.Size(r) + recordOverheadBytes; size <= freeBytes {
			p.Members = append(p.Members, r)
			freeBytes -= size
		}
	}
	d.addRumours(p, freeBytes)
	data, err := proto.Marshal(p)
	if err != nil {
		return
	}
	d.effects = append(d.effects, SendPacket{Address: address, Data: data})
}

// addRumours adds rumours, those sent least often first, as far as the packet
// and the send budget permit. This node's own record is sent regardless of
// the budget, so that a refutation is never delayed.
func (d *draft) addRumours(p *wirepb.GossipPacket, freeBytes int) {
	if len(d.gossip.Rumours) == 0 {
		return
	}
	limit := sendsPerRumour(d.gossip.LiveMembers)
	unsent := make([]blackboard.Rumour, 0, len(d.gossip.Rumours))
	var sent []blackboard.Rumour
	for i, rumour := range d.gossip.Rumours {
		m, known := d.members[rumour.Host]
		if !known || !d.now.Before(rumour.Expires) {
			continue
		}
		if d.gossip.SendBudgetBytes < minSendBudgetBytes && rumour.Host != d.self.Host {
			unsent = append(unsent, rumour)
			continue
		}
		r := rumourRecord(m)
		size := proto.Size(r) + recordOverheadBytes
		if size > freeBytes {
			unsent = append(unsent, d.gossip.Rumours[i:]...)
			break
		}
		p.Members = append(p.Members, r)
		freeBytes -= size
		d.gossip.SendBudgetBytes -= size
		if rumour.Sends++; rumour.Sends < limit {
			sent = append(sent, rumour)
		}
	}
	d.gossip.Rumours = slices.Concat(unsent, sent)
	d.rumoursCopied = true
}

// sendsPerRumour returns how often each rumour is sent. It grows with the
// logarithm of the number of members, so that a rumour reaches all of them with
// high probability.
func sendsPerRumour(live int) int {
	sends := minSendsPerRumour
	for n := live; n > 0; n /= 2 {
		sends++
	}
	return sends
}

// ping sends a ping to a member. If this node does not consider the member
// alive, the ping carries its record, so that the member can refute it.
func (d *draft) ping(m blackboard.Member, sequence uint64) {
	p := d.newPacket(wirepb.GossipKind_GOSSIP_KIND_PING, sequence)
	p.ProbedHost = m.Host
	if m.Status != blackboard.MemberAlive {
		d.send(m.Address, p, fullRecord(d.ownMember()), fullRecord(m))
		return
	}
	d.send(m.Address, p)
}

// pingAddress pings an address whose host is not known.
func (d *draft) pingAddress(address string) {
	p := d.newPacket(wirepb.GossipKind_GOSSIP_KIND_PING, 0)
	d.send(address, p, fullRecord(d.ownMember()))
}
