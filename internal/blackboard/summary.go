package blackboard

import "time"

// SummaryExchange is the state of the exchange of summaries of one node.
type SummaryExchange struct {
	// Seed and Draws give the random numbers: each use of them raises Draws.
	Seed  uint64
	Draws uint64
	// Own is the summary of this node's data centre while this node publishes it. Its Epoch is 0 otherwise.
	Own DataCentreSummary
	// Seen is the greatest epoch that was ever published of this data centre as far as this node knows.
	MaxSeenEpoch uint64
	// NextSummary is when Own is next brought up to date.
	NextSummary time.Time
	// NextHeartbeat is when the sequence of Own grows even without a change.
	NextHeartbeat time.Time
	// NextRaise is the earliest time at which Own may take a greater epoch.
	NextEpochRaise time.Time
	// Raises counts the epochs that this node took.
	EpochRaises int
	// NextRelays is when the relays of the other data centres are next read.
	NextRelayRead time.Time
	// Relays of the other data centres as last read, by data centre. Read only; replaced on change.
	Relays map[string][]string
	// Heartbeats holds what was heard of summaries that did not change, until NextFlush takes it into Remote, so
	// that readers of Remote see few new maps. Read only; replaced on change.
	Heartbeats map[string]SummaryHeartbeat
	NextFlush  time.Time
	// NextFollow is when Follows is next compared with what the node should follow.
	NextFollow time.Time
	// Follows holds the nodes whose summaries this node follows, by key. Read only; replaced on change.
	Follows map[string]FollowedNode
}

// SummaryHeartbeat tells that a summary stands as it was.
type SummaryHeartbeat struct {
	Epoch    uint64
	Sequence uint64
	Received time.Time
}

// Following is a node whose summaries this node follows.
type FollowedNode struct {
	// Key is the data centre that is followed, or FollowAll.
	Key     string
	Address string
	// Open is true from the start of a stream until its end.
	Open bool
	// RetryAt is the earliest start of the next stream.
	RetryAt time.Time
	// Failures counts the streams that ended since one brought something.
	Failures int
	// ChooseAt is when another node is chosen at random; zero means never.
	ReselectAt time.Time
}

// FollowAll is the key of the node of the own data centre that is followed for all summaries.
const FollowAll = "all"
