package gossiper

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/wirepb"
)

// Decode parses and validates one packet. A packet with any invalid field is rejected as a whole.
func Decode(data []byte, dataCentre string) (*wirepb.GossipPacket, error) {
	if len(data) > MaxPacketBytes {
		return nil, &OversizedError{Bytes: len(data), Limit: MaxPacketBytes}
	}
	var p wirepb.GossipPacket
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	if p.GetDataCentre() != dataCentre {
		return nil, &WrongDataCentreError{DataCentre: p.GetDataCentre()}
	}
	if err := checkHeader(&p); err != nil {
		return nil, err
	}
	if err := CheckRecords(p.GetMembers()); err != nil {
		return nil, err
	}
	return &p, nil
}

func checkHeader(p *wirepb.GossipPacket) error {
	switch {
	case wirepb.GossipKind_name[int32(p.GetKind())] == "" || p.GetKind() == 0:
		return &MalformedError{Field: "kind"}
	case !validName(p.GetHost()):
		return &MalformedError{Field: "host"}
	case p.GetIncarnation() == 0 || p.GetIncarnation() > MaxIncarnation:
		return &MalformedError{Field: "incarnation"}
	case p.GetProbedHost() != "" && !validName(p.GetProbedHost()):
		return &MalformedError{Field: "probed-host"}
	case p.GetProbedAddress() != "" && !validAddress(p.GetProbedAddress()):
		return &MalformedError{Field: "probed-address"}
	}
	return nil
}

// CheckRecords validates records from a peer and returns the error of the first invalid one.
func CheckRecords(records []*wirepb.MemberRecord) error {
	for _, r := range records {
		if err := checkRecord(r); err != nil {
			return err
		}
	}
	return nil
}

func checkRecord(r *wirepb.MemberRecord) error {
	switch {
	case !validName(r.GetHost()):
		return &MalformedError{Field: "host"}
	case r.GetIncarnation() == 0 || r.GetIncarnation() > MaxIncarnation:
		return &MalformedError{Field: "incarnation"}
	case stateFromWire[r.GetState()] == "":
		return &MalformedError{Field: "state"}
	case r.GetForget() > MaxIncarnation:
		return &MalformedError{Field: "forget"}
	case r.GetAddress() == "":
		return nil
	case !validAddress(r.GetAddress()):
		return &MalformedError{Field: "address"}
	case len(r.GetRack()) > maxNameBytes:
		return &MalformedError{Field: "rack"}
	case len(r.GetService()) > maxServiceBytes:
		return &MalformedError{Field: "service"}
	case targetFromWire[r.GetTarget()] == "":
		return &MalformedError{Field: "target"}
	case r.GetSlots() > maxSlots:
		return &MalformedError{Field: "slots"}
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func validAddress(address string) bool {
	if len(address) > maxNameBytes {
		return false
	}
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
