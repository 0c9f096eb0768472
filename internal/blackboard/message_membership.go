package blackboard

import (
	"time"

	"gentianbarrow.example/internal/wirepb"
)

// PacketReceived carries a validated gossip packet from a peer.
type PacketReceived struct {
	// From is the source address of the packet, as ip:port.
	From   string
	Packet *wirepb.GossipPacket
	Now    time.Time
}

// SyncReceived carries records of a peer's whole table.
type SyncReceived struct {
	Records []*wirepb.MemberRecord
	// Started is true at the node that started the exchange.
	Started bool
	Now     time.Time
}

// SyncFailed reports that an exchange of tables failed.
type SyncFailed struct{ Now time.Time }

// PeersFound is the result of a search for peers through the platform. Addresses is empty when the search failed.
type PeersFound struct {
	Addresses []string
	Now       time.Time
}

// LeaveRequested asks the controllers to tell other nodes that this one leaves.
// It is posted after the last request has finished.
type LeaveRequested struct{ Now time.Time }

// TargetAnnounced is an announcement by the target on this host.
type TargetAnnounced struct {
	Service string
	// Address is the target's address, as ip:port.
	Address string
	// Slots is how many requests the target runs at once.
	Slots int
	// Connections is how many connections the target accepts.
	Connections int
	// Phase is cold, ready or draining.
	Phase TargetPhase
	// ID identifies the target's process; empty where targets send none.
	ID string
	// Started is when the process started, in milliseconds since the Unix epoch; 0 where targets do not send it.
	Started int64
	// Sequence grows with each announcement of a process; 0 where targets send none.
	Sequence uint64
	// Applied, when not nil, is called once the announcement has taken effect.
	Applied func()
	Now     time.Time
}

// TargetLeft reports that the target's process is about to exit, by its own message
// or by its answer to a request.
type TargetLeft struct {
	ID string
	// Started is when the process started, in milliseconds since the Unix epoch; 0 when it did not send it.
	Started int64
	// Applied, when not nil, is called once the message has taken effect.
	Applied func()
	Now     time.Time
}

// TargetDeparted reports that a process of the target has stated that it accepts no
// more work.
type TargetDeparted struct {
	// Recorded, when not nil, is called once the platform keeps the statement, or does not
	// answer in time. The target counts on it from then on.
	Recorded func()
}

// TargetDepartureRead reports what the platform keeps of earlier statements of the target.
// What other nodes keep of them comes as DeparturesReported.
type TargetDepartureRead struct {
	// Departure is the zero value when the platform keeps none.
	Departure TargetDeparture
	Now       time.Time
}

// TargetMismatched reports that a process other than the expected one answers at the target's address.
// ID identifies the process that answered.
type TargetMismatched struct {
	ID  string
	Now time.Time
}

// TargetObserved is the outcome of a request to the target on this host. The
// request path posts every failure, and successes at a bounded rate.
type TargetObserved struct {
	// Success is false when the target sent no complete response. Any complete
	// response is a success, whatever its status, and so is a rejection by load shedding.
	Success bool
	Now     time.Time
}

// TargetChecked is the result of a health check of the target on this host.
type TargetChecked struct {
	// Address is the address that was checked. The result is ignored when the target's address has changed since.
	Address string
	Success bool
	Now     time.Time
}

// RelaysFound is the result of a search for the relays of the other data centres.
type RelaysFound struct {
	// Relays holds the addresses of the relays by data centre. It is nil when the search failed.
	Relays map[string][]string
	Now    time.Time
}

// SummaryReceived carries one update of a data centre's summary.
type SummaryReceived struct {
	Delta *wirepb.SummaryDelta
	Now   time.Time
}

// SummaryStreamEnded reports that a stream of summaries from a node has ended.
type SummaryStreamEnded struct {
	// Key and Address are those of the FollowedNode.
	Key     string
	Address string
	Now     time.Time
}

// SummaryEpochReported carries the epoch of this data centre's summary that a
// follower in another data centre has.
type SummaryEpochReported struct{ Epoch uint64 }
