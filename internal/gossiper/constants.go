package gossiper

import "time"

// Durations of the protocol. Those marked as scaled grow with the node's own health score.
const (
	// probePeriod is the time between two probes by one node.
	probePeriod = 1 * time.Second
	// retryPeriod is how long a node waits for the answer to a ping before it
	// pings again and asks helpers to ping too. Scaled.
	retryPeriod = 400 * time.Millisecond
	// probeTimeout is how long a probe takes at most. Scaled.
	probeTimeout = 1800 * time.Millisecond
	// suspicionTimeout is how long a suspect has to refute a suspicion. Scaled.
	suspicionTimeout = 3 * time.Second
	// relayedSuspicionExtension is added to suspicionTimeout on nodes that learned
	// of a suspicion from others, so that they are likely to receive its outcome
	// before they decide themselves. During the extension they notify the suspect.
	relayedSuspicionExtension = 2 * time.Second
	// suspicionNoticePeriod is the time between two notices to a suspect.
	suspicionNoticePeriod = 1 * time.Second
	// gossipPeriod is the time between two rounds of rumours.
	gossipPeriod = 200 * time.Millisecond
	// rumourLifetime is how long a change is passed on. Nodes that it has not
	// reached by then learn it through an exchange of tables.
	rumourLifetime = 10 * time.Second
	// pauseThreshold is the gap between two ticks above which this process counts as having been paused.
	pauseThreshold = 700 * time.Millisecond
	// syncPeriod is the time between two exchanges of tables while digests differ.
	syncPeriod = 10 * time.Second
	// syncRetryPeriod is the time to the next exchange after one that failed or
	// brought more than maxRumoursPerSync changes, and after that many new hosts
	// were learned from packets.
	syncRetryPeriod = 2 * time.Second
	// syncTimeout is how long an exchange may take.
	syncTimeout = 5 * time.Second
	// joinPeriod is the time between two attempts to join by a node that has no live peer.
	joinPeriod = 1 * time.Second
	// rejoinPeriod is the time between two packets to a dead member, or to a seed
	// or relay that is not a live member. The answer shows that a partition has healed.
	rejoinPeriod = 20 * time.Second
	// findBackoffBase is the first time between two searches for peers through the
	// platform. It also spreads the first searches of hosts that start together.
	findBackoffBase = 10 * time.Second
	// maxFindBackoff bounds the time between two searches for peers through the platform.
	maxFindBackoff = 60 * time.Second
	// forgetPeriod is the time between two removals of expired members from the table.
	forgetPeriod = 10 * time.Second
)

// ForgetAfter is how long a member stays listed after its death or departure.
// Until then it counts among the hosts that may have run a newer configuration.
const ForgetAfter = 10 * time.Minute

// Sizes and limits of the protocol.
const (
	// MaxPacketBytes bounds the UDP payload of a packet.
	MaxPacketBytes = 1400
	// MaxMembers bounds the member table; further unknown hosts are not added to it.
	MaxMembers = 4096
	// MaxIncarnation is far above any start time in microseconds.
	MaxIncarnation = 1 << 60

	// helpersPerRound is how many members are asked to ping a host each time its probe is retried.
	helpersPerRound = 2
	// gossipFanout is how many members receive the rumours of one round.
	gossipFanout = 2
	// leaveFanout is how many members a node notifies when it leaves.
	leaveFanout = 5
	// joinFanout is how many addresses are pinged in one attempt to join.
	joinFanout = 3
	// joinSampleMembers is how many members the answer to an unknown host lists at most.
	joinSampleMembers          = 12
	maxHealthScore             = 3
	maxRumours                 = 256
	maxRelayedProbes           = 64
	maxSuspicionNoticesPerTick = 20
	// maxRumoursPerSync is the number of changes in one exchange of tables up to
	// which they are passed on as rumours; if there are more, none is.
	maxRumoursPerSync = 16
	minSendsPerRumour = 3
	// recordBytesPerSec is the rate at which the send budget for rumours refills, up to recordBurstBytes.
	recordBytesPerSec = 3000
	recordBurstBytes  = 12000
	// minSendBudgetBytes is the send budget below which only this node's own record is sent.
	minSendBudgetBytes = 200
	maxNameBytes       = 64
	maxServiceBytes    = 128
	maxSlots           = 1 << 20
	maxConcurrentSyncs = 4
	microsPerMilli     = 1000
	// maxSyncRecordBytes is the size per record by which an OversizedError states the size of a table.
	maxSyncRecordBytes = 512
)
