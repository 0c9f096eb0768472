package blackboard

import "time"

// DigestBuckets is the number of buckets of the member table. Each has a digest of its own.
const DigestBuckets = 64

// Gossip is the state of the membership protocol of one node.
type Gossip struct {
	// Seed and Draws seed the random numbers, so that the state alone determines
	// them. Draws grows with each message that uses random numbers.
	Seed  uint64
	Draws uint64
	// LastTick is the time of the latest tick that the controller handled.
	LastTick time.Time

	// ProbeOrder holds the hosts to probe in this round, shuffled for each round.
	ProbeOrder []string
	// NextProbeIndex is the index in ProbeOrder of the host to probe next.
	NextProbeIndex int
	// LiveMembers counts the other members that are alive or suspect.
	LiveMembers int
	// Sequence is the sequence number of the last ping. It never decreases.
	Sequence uint64
	// NextProbe is when the next probe is due.
	NextProbe time.Time
	// Probe is the probe in progress.
	Probe Probe
	// Relayed holds the pings sent on behalf of other members; bounded.
	Relayed []RelayedProbe

	// HealthScore estimates how unhealthy this node itself is; 0 is healthy. Timeouts for other members grow with it.
	HealthScore int
	// Suspicions holds the suspected members. An entry that no longer matches the member's record is void.
	Suspicions []Suspicion
	// Rumours holds the records to pass on, those sent least often first; bounded.
	Rumours []Rumour
	// SendBudgetBytes is how many bytes of records may be sent now.
	SendBudgetBytes int
	// NextGossip is when rumours are next sent.
	NextGossip time.Time

	// BucketDigests holds the digest of each bucket of the table, over members that are not dead.
	BucketDigests [DigestBuckets]uint64
	// NextSync is the earliest start of the next exchange of tables.
	NextSync time.Time
	// SyncDeadline is when the exchange in progress counts as failed; zero when there is none.
	SyncDeadline time.Time
	// Synced is true once a table has been exchanged.
	Synced bool
	// AddedSinceSync counts the hosts that packets have added to the table since the last exchange.
	AddedSinceSync int

	// NextJoin is when the node next contacts addresses outside its live members.
	NextJoin time.Time
	// NextPeerSearch is the earliest time of the next search for peers through the platform.
	NextPeerSearch time.Time
	// PeerSearches counts the searches since the node last had a live peer. The backoff grows with it.
	PeerSearches int
	// NextForget is when members whose ForgetAt has passed are next dropped.
	NextForget time.Time
	// Left is true once the node has announced that it leaves.
	Left bool
}

// Probe is the failure-detection probe in progress. The zero value means none.
type Probe struct {
	Host     string
	Sequence uint64
	// RetryAt is when the host is next pinged again, by this node and through helpers.
	RetryAt time.Time
	// Deadline is when the host becomes suspect.
	Deadline time.Time
	// Helpers counts the members that were asked to ping the host.
	Helpers int
	// HelperAnswered reports whether at least one helper has answered.
	HelperAnswered bool
}

// RelayedProbe is a ping sent on behalf of another member.
type RelayedProbe struct {
	// Sequence is the sequence number of this node's ping.
	Sequence uint64
	// RequesterSequence is the sequence number of the member that asked for the ping.
	RequesterSequence uint64
	// Address is the address of the member that asked for the ping.
	Address  string
	Deadline time.Time
}

// Suspicion is a suspected failure of a member. The member is declared dead at
// the deadline unless it refutes the suspicion.
type Suspicion struct {
	Host string
	// Incarnation is the suspected incarnation; a greater one voids the suspicion.
	Incarnation uint64
	Deadline    time.Time
	// NotifyAt is when the member itself is next told of the suspicion.
	NotifyAt time.Time
}

// Rumour identifies a member whose record is to be passed on.
type Rumour struct {
	Host string
	// Sends counts the packets that carried the record.
	Sends int
	// Expires is when the record is no longer passed on.
	Expires time.Time
}
