package gossiper

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

func validPacket() *wirepb.GossipPacket {
	return &wirepb.GossipPacket{
		Kind: wirepb.GossipKind_GOSSIP_KIND_PING, DataCentre: "buc-a", Host: host(1), Incarnation: 7,
		Members: []*wirepb.MemberRecord{{
			Host: host(2), Incarnation: 9, State: wirepb.MemberState_MEMBER_STATE_ALIVE, Address: address(2),
			Rack: "r1", Service: "roster", Target: wirepb.TargetState_TARGET_STATE_READY, Slots: 10, Revision: 3,
		}},
	}
}

func encoded(t testing.TB, p *wirepb.GossipPacket) []byte {
	t.Helper()
	data, err := proto.Marshal(p)
	assert.NilError(t, err)
	return data
}

func assertMalformed(t *testing.T, err error, field string) {
	t.Helper()
	var malformed *MalformedError
	assert.Assert(t, errors.As(err, &malformed), "%v", err)
	assert.Equal(t, malformed.Field, field)
}

func TestDecode(t *testing.T) {
	t.Run("a valid packet", func(t *testing.T) {
		p, err := Decode(encoded(t, validPacket()), "buc-a")
		assert.NilError(t, err)
		assert.Equal(t, p.GetMembers()[0].GetService(), "roster")
	})
	t.Run("another data centre", func(t *testing.T) {
		_, err := Decode(encoded(t, validPacket()), "buc-b")
		var wrongDataCentre *WrongDataCentreError
		assert.Assert(t, errors.As(err, &wrongDataCentre))
	})
	t.Run("an oversized packet", func(t *testing.T) {
		_, err := Decode(make([]byte, MaxPacketBytes+1), "buc-a")
		var oversized *OversizedError
		assert.Assert(t, errors.As(err, &oversized))
	})
	t.Run("bytes that cannot be parsed", func(t *testing.T) {
		_, err := Decode([]byte{0xff, 0xff, 0xff}, "buc-a")
		assertMalformed(t, err, "")
	})
	for field, corrupt := range map[string]func(p *wirepb.GossipPacket){
		"kind":           func(p *wirepb.GossipPacket) { p.Kind = 99 },
		"host":           func(p *wirepb.GossipPacket) { p.Host = "" },
		"incarnation":    func(p *wirepb.GossipPacket) { p.Incarnation = MaxIncarnation + 1 },
		"probed-address": func(p *wirepb.GossipPacket) { p.ProbedAddress = "elsewhere" },
		"state":          func(p *wirepb.GossipPacket) { p.Members[0].State = 9 },
		"address":        func(p *wirepb.GossipPacket) { p.Members[0].Address = "roster.example:80" },
		"target":         func(p *wirepb.GossipPacket) { p.Members[0].Target = 0 },
		"slots":          func(p *wirepb.GossipPacket) { p.Members[0].Slots = maxSlots + 1 },
	} {
		t.Run(field, func(t *testing.T) {
			p := validPacket()
			corrupt(p)
			_, err := Decode(encoded(t, p), "buc-a")
			assertMalformed(t, err, field)
		})
	}
}

// FuzzPacket checks that no packet makes a node's state exceed its bounds or
// changes the node's own record other than by raising its incarnation.
func FuzzPacket(f *testing.F) {
	w := newSettledNetwork(f, 1, 3)
	f.Add(encoded(f, validPacket()))
	request := validPacket()
	request.Kind, request.ProbedHost, request.ProbedAddress = wirepb.GossipKind_GOSSIP_KIND_PING_REQUEST, host(2), address(2)
	f.Add(encoded(f, request))
	accusation := validPacket()
	accusation.Members[0].Host, accusation.Members[0].State = host(0), wirepb.MemberState_MEMBER_STATE_DEAD
	accusation.Members[0].Incarnation = w.nodes[0].state.Self.Incarnation
	f.Add(encoded(f, accusation))
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := w.nodes[0].state
		before := s.Members.ByHost[host(0)]
		_ = Receive(data, address(1), "buc-a", w.now, func(m blackboard.Msg) {
			if p, ok := m.(blackboard.PacketReceived); ok {
				s, _ = Reduce(s, p, nil)
				s, _ = Reduce(s, blackboard.Tick{Now: w.now.Add(time.Second)}, nil)
			}
		})
		own := s.Members.ByHost[host(0)]
		assert.Equal(t, own.Status, blackboard.MemberAlive)
		assert.Assert(t, own.Incarnation >= before.Incarnation)
		assert.Equal(t, own.Target, before.Target)
		assert.Assert(t, len(s.Members.ByHost) <= 3+MaxPacketBytes/8)
		assert.Assert(t, len(s.Members.Gossip.Rumours) <= maxRumours && len(s.Members.Gossip.Relayed) <= maxRelayedProbes)
	})
}

func TestTableIsBounded(t *testing.T) {
	w := newSettledNetwork(t, 1, 3)
	s := w.nodes[0].state
	for i := range 2 * MaxMembers / 16 {
		records := make([]*wirepb.MemberRecord, 16)
		for j := range records {
			r := proto.CloneOf(validPacket().GetMembers()[0])
			r.Host = host(1000 + 16*i + j)
			records[j] = r
		}
		p := validPacket()
		p.Members = records
		s, _ = Reduce(s, blackboard.PacketReceived{From: address(1), Packet: p, Now: w.now}, nil)
	}
	assert.Equal(t, len(s.Members.ByHost), MaxMembers)
}
