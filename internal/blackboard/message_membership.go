package blackboard

import (
	"time"

	"gentianbarrow.example/internal/wirepb"
)

// PacketReceived hands a checked packet of a peer to the gossiper.
type PacketReceived struct {
	// From is the address that the packet came from, as ip:port.
	From   string
	Packet *wirepb.GossipPacket
	Now    time.Time
}

// SyncReceived carries records of a peer's whole table.
type SyncReceived struct {
	Records []*wirepb.MemberRecord
	// Started is true at the node that began the exchange.
	Started bool
	Now     time.Time
}

// SyncFailed tells that an exchange of tables came to nothing.
type SyncFailed struct{ Now time.Time }

// PeersFound answers a search for peers through the platform. Addresses is empty when it failed.
type PeersFound struct {
	Addresses []string
	Now       time.Time
}

// LeaveRequested asks the gossiper to tell others that this node is going. It
// comes after the last request has finished.
type LeaveRequested struct{ Now time.Time }

// TargetAnnounced is what the target on this host says of itself.
type TargetAnnounced struct {
	Service string
	// Address of the target, as ip:port.
	Address     string
	Slots       int
	Connections int
	// Phase is cold, ready or draining.
	Phase TargetPhase
	// ID names the target's process, Started is when it began and Sequence grows with
	// its announcements. All are empty where targets do not tell them.
	ID       string
	Started  int64
	Sequence uint64
	// Applied, when not nil, is called once the announcement has taken effect.
	Applied func()
	Now     time.Time
}

// TargetLeft tells that the target's process is about to end.
type TargetLeft struct {
	ID string
	// Started is when the process began; 0 when it did not tell.
	Started int64
	// Applied, when not nil, is called once the message has taken effect.
	Applied func()
	Now     time.Time
}

// TargetMistaken tells that another process than the expected one answers at the target's address.
type TargetMismatched struct {
	ID  string
	Now time.Time
}

// TargetObserved is what a request showed of the target on this host. The
// request path posts each failure, and successes at a bounded rate.
type TargetObserved struct {
	// Success is false when the target gave no whole answer. Any whole answer is
	// a success, whatever its status, and so is a refusal by load shedding.
	Success bool
	Now     time.Time
}

// TargetChecked is what came of a health check of the target on this host.
type TargetChecked struct {
	// Address that was checked. The result is void when the target has moved since.
	Address string
	Success bool
	Now     time.Time
}

// RelaysFound tells the relays of the other data centres by data centre. It is nil when the search failed.
type RelaysFound struct {
	Relays map[string][]string
	Now    time.Time
}

// SummaryReceived carries one change of a data centre's summary.
type SummaryReceived struct {
	Delta *wirepb.SummaryDelta
	Now   time.Time
}

// SummaryEnded tells that following a node's summaries has ended.
type SummaryStreamEnded struct {
	// Key and Address are those of the Following.
	Key     string
	Address string
	Now     time.Time
}

// SummaryMarked tells the epoch that a follower in another data centre holds of this one.
type SummaryEpochReported struct{ Epoch uint64 }
