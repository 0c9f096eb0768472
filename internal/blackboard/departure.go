package blackboard

import (
	"cmp"
	"time"
)

// TargetDeparture is the statement of a process of the target that it accepts no more
// work. It is comparable.
type TargetDeparture struct {
	// ID and Started identify the process, as in Target. ID is empty when there is no statement.
	ID      string `json:"id"`
	Started int64  `json:"started,omitempty"`
	// Sequence is the sequence number of the latest announcement by then. An earlier one
	// arrives late.
	Sequence uint64 `json:"sequence,omitempty"`
	// Leaving is true when the process is about to exit; otherwise it drains.
	Leaving bool `json:"leaving,omitempty"`
}

// Supersedes reports whether the statement is newer than another one of the same host's
// targets. It is a total order, so nodes that exchange statements agree on one.
func (d TargetDeparture) Supersedes(other TargetDeparture) bool {
	if d.ID == "" || other.ID == "" {
		return d.ID != "" && other.ID == ""
	}
	return cmp.Or(
		cmp.Compare(d.Started, other.Started),
		cmp.Compare(d.ID, other.ID),
		compareBools(d.Leaving, other.Leaving),
		cmp.Compare(d.Sequence, other.Sequence),
	) > 0
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// HostDeparture is the latest statement of the target of a host. It is comparable.
type HostDeparture struct {
	Host, DataCentre string
	TargetDeparture
	// Stated is true while the running process of the host's node is known to have the
	// statement. The next process may not know of it.
	Stated bool
}

// DeparturesReported reports statements of targets, which may include the one of this
// host that an earlier process of this node acknowledged.
type DeparturesReported struct {
	Departures []HostDeparture
	Now        time.Time
}

// NodeLeft reports a node that has stopped beside a target that was leaving. The
// platform keeps its object for a time, because the node may be started again while the
// target still runs.
type NodeLeft struct {
	Host string
	// Revision is that of the node's object in the platform.
	Revision uint64
	// ForgetAt is when the object may be removed.
	ForgetAt time.Time
}
