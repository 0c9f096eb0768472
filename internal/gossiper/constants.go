package gossiper

import "time"

// Times of the protocol. Those marked as stretched grow with the node's own health score.
const (
	// probePeriod is the time between two probes.
	probePeriod = 1 * time.Second
	// retryPeriod is how long a ping waits before it is sent again, by helpers too. Stretched.
	retryPeriod = 400 * time.Millisecond
	// probeTimeout is how long a probe takes at most. Stretched.
	probeTimeout = 1800 * time.Millisecond
	// suspicionTimeout is how long a suspect may refute. Stretched.
	suspicionTimeout = 3 * time.Second
	// hearsayTimeout is added at nodes that only heard of the suspicion, so that
	// they rather hear how it ended. They tell the suspect themselves in that time.
	hearsayTimeout = 2 * time.Second
	// tellPeriod is the time between two notices to a suspect.
	tellPeriod = 1 * time.Second
	// gossipPeriod is the time between two rounds of rumours.
	gossipPeriod = 200 * time.Millisecond
	// rumourLifetime is how long a change is passed on. What it has not reached by then learns it by an exchange of tables.
	rumourLifetime = 10 * time.Second
	// pauseThreshold is the gap between two ticks that means that this process stood still.
	pauseThreshold = 700 * time.Millisecond
	// syncPeriod is the time between two exchanges of tables while digests differ.
	syncPeriod = 10 * time.Second
	// syncRetryPeriod follows a failed exchange, or one that taught much.
	syncRetryPeriod = 2 * time.Second
	// syncTimeout ends an exchange without an answer.
	syncTimeout = 5 * time.Second
	// joinPeriod is the time between two attempts of a node that has no live peer.
	joinPeriod = 1 * time.Second
	// rejoinPeriod is the time between two packets to a dead member, seed or
	// relay outside the live members, by which a healed partition is found.
	rejoinPeriod = 20 * time.Second
	// findDelay spreads the first searches through the platform of hosts that start together.
	findDelay = 10 * time.Second
	// findBackoffCap bounds the time between two searches through the platform.
	findBackoffCap = 60 * time.Second
	// forgetPeriod is the time between two sweeps of the table.
	forgetPeriod = 10 * time.Second
)

// ForgetAfter is how long a dead or left member stays listed. Until then it
// counts among the hosts that may have run a newer configuration.
const ForgetAfter = 10 * time.Minute

// Sizes of the protocol.
const (
	// MaxPacketBytes is the greatest UDP payload.
	MaxPacketBytes = 1400
	// MaxMembers bounds the table; unknown hosts beyond it are not taken in.
	MaxMembers = 4096
	// MaxIncarnation is far above any start time in microseconds.
	MaxIncarnation = 1 << 60

	// helpers is how many members are asked in each round of a probe.
	helpers            = 2
	gossipFanout       = 2
	leaveFanout        = 5
	joinFanout         = 3
	sampleMembers      = 12
	maxScore           = 3
	maxRumours         = 256
	maxRelayed         = 64
	maxTellsPerTick    = 20
	maxBulkRumours     = 16
	minSendsPerRumour  = 3
	recordBytesPerSec  = 3000
	recordBytesBurst   = 12000
	minAllowance       = 200
	maxNameBytes       = 64
	maxServiceBytes    = 128
	maxSlots           = 1 << 20
	maxServedSyncs     = 4
	microsPerMilli     = 1000
	maxSyncRecordBytes = 512
)
