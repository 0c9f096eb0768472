package subscriber

import (
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// targetStates maps the phases of targets to their values on the wire.
var targetStates = map[blackboard.TargetPhase]wirepb.TargetState{
	blackboard.TargetNone:     wirepb.TargetState_TARGET_STATE_NONE,
	blackboard.TargetCold:     wirepb.TargetState_TARGET_STATE_COLD,
	blackboard.TargetReady:    wirepb.TargetState_TARGET_STATE_READY,
	blackboard.TargetDraining: wirepb.TargetState_TARGET_STATE_DRAINING,
	blackboard.TargetFailed:   wirepb.TargetState_TARGET_STATE_FAILED,
}

func targetPhase(state wirepb.TargetState) blackboard.TargetPhase {
	for phase, s := range targetStates {
		if s == state {
			return phase
		}
	}
	return blackboard.TargetNone
}

func (sub *Subscriber) encodeUpdate(current publishedState, sentHosts map[string]bool) *wirepb.NodeUpdate {
	t := &current.state.Target
	m := &wirepb.NodeUpdate{
		Host: sub.cfg.Self.Host, Incarnation: sub.cfg.Incarnation, Draining: current.state.Draining, Version: current.state.Version,
		Service: t.Service, Target: targetStates[t.Phase], Slots: uint32(t.Slots), Revision: t.Revision, PlatformLost: current.state.PlatformLost,
		PlatformEra: current.state.PlatformEra,
	}
	for _, n := range current.known {
		if sentHosts != nil && !sentHosts[n.Host] {
			sentHosts[n.Host] = true
			m.Known = append(m.Known, encodeRecord(n))
		}
	}
	return m
}

func (sub *Subscriber) decodeUpdate(m *wirepb.NodeUpdate) blackboard.NodeUpdated {
	return blackboard.NodeUpdated{
		Host: m.GetHost(), Incarnation: m.GetIncarnation(), Draining: m.GetDraining(), Version: m.GetVersion(),
		Target: blackboard.TargetRecord{
			Service: m.GetService(), Phase: targetPhase(m.GetTarget()), Slots: int(m.GetSlots()), Revision: m.GetRevision(),
		},
		PlatformLost: m.GetPlatformLost(), PlatformEra: m.GetPlatformEra(), Order: m.GetOrder(),
	}
}

func encodeRecord(n blackboard.NodeRecord) *wirepb.NodeRecord {
	return &wirepb.NodeRecord{Host: n.Host, Address: n.Address, DataCentre: n.DataCentre, Region: n.Region, LinkMbit: uint32(n.LinkMbit)}
}

// decodeRecords returns the records that name a host and an address.
func decodeRecords(list []*wirepb.NodeRecord) []blackboard.NodeRecord {
	out := make([]blackboard.NodeRecord, 0, len(list))
	for _, n := range list {
		if n.GetHost() == "" || n.GetAddress() == "" {
			continue
		}
		out = append(out, blackboard.NodeRecord{
			Host: n.GetHost(), Address: n.GetAddress(), DataCentre: n.GetDataCentre(), Region: n.GetRegion(),
			LinkMbit: int(n.GetLinkMbit()),
		})
	}
	return out
}

// encodeView returns the changes from the nodes that were sent to the present ones, or
// the whole view; nil when nothing has changed.
func encodeView(dataCentre string, sent, nodes map[string]blackboard.PeerState, whole bool) *wirepb.DataCentreView {
	v := &wirepb.DataCentreView{DataCentre: dataCentre, Whole: whole}
	for host, n := range nodes {
		before, known := sent[host]
		if known && sameReport(before, n) {
			continue
		}
		m := &wirepb.PeerState{
			Host: host, Incarnation: n.Incarnation, Order: n.Order,
			Service: n.Target.Service, Target: targetStates[n.Target.Phase], Slots: uint32(n.Target.Slots), Revision: n.Target.Revision,
		}
		if !known || before.Record != n.Record {
			m.Record = encodeRecord(n.Record)
		}
		v.Nodes = append(v.Nodes, m)
	}
	for host := range sent {
		if _, ok := nodes[host]; !ok {
			v.Gone = append(v.Gone, host)
		}
	}
	if !whole && len(v.Nodes)+len(v.Gone) == 0 {
		return nil
	}
	return v
}

// sameReport reports whether two states of a node differ at most in their order.
func sameReport(a, b blackboard.PeerState) bool {
	a.Order = b.Order
	return a == b
}

// viewDecoder decodes the views of one stream.
type viewDecoder struct {
	// records holds the last record of each node, by host, which is sent only once.
	records map[string]blackboard.NodeRecord
}

func newViewDecoder() *viewDecoder {
	return &viewDecoder{records: map[string]blackboard.NodeRecord{}}
}

// decode returns the message that a view stands for. Nodes without a record of the
// view's data centre are left out.
func (d *viewDecoder) decode(key blackboard.ViewKey, v *wirepb.DataCentreView, now time.Time) blackboard.Msg {
	if v.GetEnded() {
		return blackboard.ViewInterrupted{ViewKey: key, Ended: true, Now: now}
	}
	msg := blackboard.ViewChanged{ViewKey: key, Whole: v.GetWhole(), Gone: v.GetGone(), Now: now}
	for _, n := range v.GetNodes() {
		for _, record := range decodeRecords([]*wirepb.NodeRecord{n.GetRecord()}) {
			d.records[record.Host] = record
		}
		record, known := d.records[n.GetHost()]
		if !known || record.DataCentre != key.DataCentre {
			continue
		}
		msg.Nodes = append(msg.Nodes, blackboard.PeerState{
			Record: record, Incarnation: n.GetIncarnation(), Order: n.GetOrder(),
			Target: blackboard.TargetRecord{
				Service: n.GetService(), Phase: targetPhase(n.GetTarget()), Slots: int(n.GetSlots()), Revision: n.GetRevision(),
			},
		})
	}
	return msg
}
