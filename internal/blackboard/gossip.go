package blackboard

import "time"

// DigestBuckets is how many parts of the member table have a digest of their own.
const DigestBuckets = 64

// Gossip is the state of the membership protocol of one node.
type Gossip struct {
	// Seed and Draws give the random numbers: each use of them raises Draws.
	Seed  uint64
	Draws uint64
	// LastTick is the latest time that the controller was told.
	LastTick time.Time

	// Order is the round of hosts to probe, shuffled once a round; Next is an index into it.
	ProbeOrder     []string
	NextProbeIndex int
	// Live counts the other members that are alive or suspect.
	LiveMembers int
	// Sequence of the last ping. It never decreases.
	Sequence  uint64
	NextProbe time.Time
	Probe     Probe
	// Relayed holds the pings sent for others; bounded.
	Relayed []RelayedProbe

	// Score tells how unhealthy this node is itself: 0 is healthy. Deadlines for others stretch with it.
	HealthScore int
	// Suspicions of members; those that no longer fit the member's record are void.
	Suspicions []Suspicion
	// Rumours to pass on, those sent least first; bounded.
	Rumours []Rumour
	// Allowance is how many bytes of records may be sent now.
	SendBudgetBytes int
	NextGossip      time.Time

	// Buckets holds the digest of each part of the table, over members that are not dead.
	BucketDigests [DigestBuckets]uint64
	// NextSync is the earliest start of the next exchange of tables.
	NextSync time.Time
	// SyncEnds is when an exchange under way counts as failed; zero means none is under way.
	SyncDeadline time.Time
	// Synced is true once a table was exchanged.
	Synced bool
	// Admitted counts the hosts that packets added to the table since the last exchange.
	AddedSinceSync int

	// NextJoin is when the node next contacts addresses outside its live members.
	NextJoin time.Time
	// NextFind is the earliest time of the next search for peers through the platform.
	NextPeerSearch time.Time
	// Finds counts the searches since the node last had a live peer.
	PeerSearches int
	NextForget   time.Time
	// Left is true once the node said that it is going.
	Left bool
}

// Probe is the ping under way. The zero value means none.
type Probe struct {
	Host     string
	Sequence uint64
	// RetryAt is when the host is next pinged again, by other members too.
	RetryAt time.Time
	// Deadline is when the host becomes suspect.
	Deadline time.Time
	// Helpers counts the members asked; Helped tells that at least one answered.
	Helpers        int
	HelperAnswered bool
}

// RelayedProbe is a ping sent for another member.
type RelayedProbe struct {
	// Sequence of this node's ping, and Asked that of the member who asked for it.
	Sequence          uint64
	RequesterSequence uint64
	Address           string
	Deadline          time.Time
}

// Suspicion ends in the death of a member unless it refutes it in time.
type Suspicion struct {
	Host string
	// Incarnation that is suspected; a greater one voids the suspicion.
	Incarnation uint64
	Deadline    time.Time
	// TellAt is when the member itself is next told.
	NotifyAt time.Time
}

// Rumour names a member whose record is to be passed on.
type Rumour struct {
	Host string
	// Sends counts the packets that carried the record.
	Sends int
	// Expires is when the record is no longer passed on.
	Expires time.Time
}
