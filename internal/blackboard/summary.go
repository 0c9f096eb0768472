package blackboard

import "time"

// SummaryExchange is the state of the exchange of summaries of one node.
type SummaryExchange struct {
	// Own is the summary of this node's data centre while this node publishes it. Its Epoch is 0 otherwise.
	Own DataCentreSummary
	// Seen is the greatest epoch that any other node held of this data centre.
	Seen uint64
	// Digest covers Remote and changes with it.
	Digest uint64
	// NextSummary is when Own is next brought up to date.
	NextSummary time.Time
	// NextPull is when a relay next asks a relay of another data centre.
	NextPull time.Time
	// NextRelays is when the relays of the other data centres are next read.
	NextRelays time.Time
	// Relays of the other data centres as last read, by data centre. Read only; replaced on change.
	Relays map[string][]string
	// NextFetch is the earliest time of the next fetch from a peer of this data centre.
	NextFetch time.Time
	// FetchEnds is when a fetch under way counts as failed; zero means none is under way.
	FetchEnds time.Time
	// Pulls counts the pulls and gives each its data centre in turn.
	Pulls uint64
}
