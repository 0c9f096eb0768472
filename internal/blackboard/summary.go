package blackboard

import "time"

// SummaryExchange is the state of the exchange of summaries of one node.
type SummaryExchange struct {
	// Seed and Draws seed the random numbers, so that the state alone determines
	// them. Draws grows with each use.
	Seed  uint64
	Draws uint64
	// Own is the summary of this node's data centre while this node publishes it. Its Epoch is 0 otherwise.
	Own DataCentreSummary
	// MaxSeenEpoch is the greatest epoch of this data centre's summary that this node has seen.
	MaxSeenEpoch uint64
	// NextSummary is when Own is next updated.
	NextSummary time.Time
	// NextHeartbeat is when the sequence of Own grows even without a change.
	NextHeartbeat time.Time
	// NextEpochRaise is the earliest time at which Own may take a greater epoch.
	NextEpochRaise time.Time
	// EpochRaises counts the epochs that this node has taken, up to a bound. The time between two of them grows with it.
	EpochRaises int
	// NextRelayRead is when the relays of the other data centres are next read.
	NextRelayRead time.Time
	// Relays holds the addresses of the other data centres' relays as last read, by data centre.
	// Read-only; replaced on change.
	Relays map[string][]string
	// Heartbeats holds the heartbeats of unchanged summaries, by data centre, until NextFlush.
	// They are merged into Remote together, so that Remote is replaced rarely. Read-only; replaced on change.
	Heartbeats map[string]SummaryHeartbeat
	// NextFlush is when Heartbeats is next merged into Remote.
	NextFlush time.Time
	// NextFollow is when Follows is next compared with the nodes that this node should follow.
	NextFollow time.Time
	// Follows holds the nodes whose summaries this node follows, by key. Read-only; replaced on change.
	Follows map[string]FollowedNode
}

// SummaryHeartbeat reports that a summary has not changed.
type SummaryHeartbeat struct {
	Epoch    uint64
	Sequence uint64
	Received time.Time
}

// FollowedNode is a node whose summaries this node follows.
type FollowedNode struct {
	// Key is the data centre that is followed, or FollowAll.
	Key     string
	Address string
	// Open is true from the start of a stream until its end.
	Open bool
	// RetryAt is the earliest start of the next stream.
	RetryAt time.Time
	// Failures counts the streams that ended since one last delivered a summary.
	Failures int
	// ReselectAt is when another node is chosen at random; zero means never.
	ReselectAt time.Time
}

// FollowAll is the key of the node of this data centre that is followed for the summaries of all data centres.
const FollowAll = "all"
