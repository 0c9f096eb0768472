package blackboard

import "time"

// ViewKey identifies a view: who reports on which data centre. The source is this
// node itself for a data centre that it observes.
type ViewKey struct{ Source, DataCentre string }

// View holds the live nodes of a data centre as one source reports them.
type View struct {
	// Nodes holds the nodes by host. Read-only; replaced on change.
	Nodes map[string]PeerState
	// ExpiresAt is when the view is dropped; zero while its source keeps it up to date.
	ExpiresAt time.Time
}

// PeerState is the state of a live node as a source reports it.
type PeerState struct {
	Record      NodeRecord
	Incarnation uint64
	// Order is the position of the state among those that the node has published in its incarnation.
	Order uint64
	// Target is the node's report on its host's target. It is draining when the node
	// accepts no requests from other nodes.
	Target TargetRecord
}

// Supersedes reports whether the state is newer than another one of the same node.
func (p PeerState) Supersedes(other PeerState) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Order > other.Order
}

// ViewChanged reports how a source's view of a data centre changed.
type ViewChanged struct {
	ViewKey
	// Whole is true when Nodes is the whole view.
	Whole bool
	Nodes []PeerState
	// Gone holds the hosts of nodes that are no longer live.
	Gone []string
	Now  time.Time
}

// ViewInterrupted reports that a view is no longer kept up to date.
//
// An empty data centre stands for all views of the source.
type ViewInterrupted struct {
	ViewKey
	// Ended is true when the view is dropped at once, because its source no longer
	// reports on the data centre.
	Ended bool
	Now   time.Time
}
