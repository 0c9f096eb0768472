package blackboard

import (
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

// Config is the entry of the follower.
type Config struct {
	// Running is what requests are served by; nil until the node knows that it
	// is not older than what this host has run. Its version never decreases.
	Running *snapshotter.Snapshot
	// Floor is the greatest version that this node has recorded for itself or
	// for others. It never decreases.
	Floor uint64
	// Least is the Floor at the end of the recovery. The first Running is not lower.
	MinVersion uint64
	// Recovering is true until the node has evidence for a safe first version.
	Recovering bool
	// Parent is the address that the node follows; empty means none.
	Parent string
	// Stage holds the version that is checked but not yet in force.
	Stage Stage
	// Recent holds the newest versions that this node can make deltas from, oldest first. Read only.
	Recent []*snapshotter.Snapshot
	// Tree is the node's place between the relays and the other nodes.
	Tree Tree
	// Recovery is the progress of a restarted node; of no meaning unless Recovering.
	Recovery Recovery
	// Source is what a relay knows of the platform.
	Source Source
	// Heard is the greatest version that a peer is known to have.
	PeerVersion PeerVersion
	// Following tells that the platform is being followed directly; it stays false where a tree of relays does so.
	PollerStarted bool
	// PlatformLost tells that the platform, which is being followed directly, does not answer.
	PlatformLost bool
}

// Stage is a whole, validated version that waits for its witnesses.
type Stage struct {
	// Next is nil when nothing is staged. Its version is greater than that of Running.
	Next *snapshotter.Snapshot
	// Witnesses holds, by host, who has recorded the version. Read only; replaced on change.
	Witnesses map[string]Witness
	// Asked holds, by host, when the pending question was sent. Read only; replaced on change.
	Asked map[string]time.Time
	// AskAt is when to ask further hosts.
	AskAt time.Time
	// WarnAt is when to tell the operators that the version still waits.
	WarnAt time.Time
	// RefreshAt is when to have the running version recorded again.
	RefreshAt time.Time
	// Known is how many members there were when the running version was last recorded.
	KnownMembers int
}

// Witness is a host that has recorded a version.
type Witness struct {
	Rack string
	// Until is when the acknowledgement no longer counts.
	ExpiresAt time.Time
}

// Tree is the place of a node in the distribution tree.
type Tree struct {
	// ParentHost is empty when the node has no parent.
	ParentHost string
	// Joined is true once the parent has answered.
	Joined bool
	// SilentAt is when the parent counts as silent.
	SilentAt time.Time
	// Path holds the hash of each ancestor, nearest first. Read only.
	Path []uint32
	// Attempt counts the parents tried since the last one that answered.
	Attempt int
	// Hints are addresses that a full parent named. Read only.
	Hints []string
	// JoinAt is when to look for a parent.
	JoinAt time.Time
	// ReportAt is when to report to the parent.
	ReportAt time.Time
	// BeatAt is when to send the next heartbeat to the children.
	HeartbeatAt time.Time
	// Stopping is true once the node has sent its children elsewhere. It takes no more.
	Stopping bool
	// Children by host, at most the fan-out. Read only; replaced on change.
	Children map[string]Child
}

// Child is a node that follows this one.
type Child struct {
	Host    string
	Address string
	// Version that the child has or was last sent.
	Version uint64
	// SilentAt is when the child counts as gone.
	SilentAt time.Time
	// InForce counts the nodes at and below the child by version. Read only.
	InForce map[uint64]int
}

// Recovery is the progress of a restarted node towards evidence for a first version.
type Recovery struct {
	// Began is when the process started.
	StartedAt time.Time
	// Question tells answers to this process from those to an earlier one.
	Question uint64
	// AskHeadAt is when to ask a peer for a fresh read of the head.
	AskHeadAt time.Time
	// ReadAt is when to consider a read of the platform by this node itself.
	ReadAt time.Time
	// AskFloorsAt is when to ask further members for their floors.
	AskFloorsAt time.Time
	// Asked holds, by host, when it was last asked for its floor. Read only; replaced on change.
	Asked map[string]time.Time
	// Answers holds, by host, the floor that it answered with. Read only; replaced on change.
	Answers map[string]uint64
	// LargestView is the greatest number of members that an answer told of.
	MaxReportedMembers int
	// WarnAt is when to tell the operators that the node still waits.
	WarnAt time.Time
}

// Source is what a relay knows of the platform.
type Source struct {
	// Revision of the head object when last seen.
	Revision uint64
	// Watching is true while a watch waits.
	Watching bool
	// WatchAt is when to start the next watch.
	WatchAt time.Time
	// Deferred is the greatest version whose load was left to another relay.
	DeferredVersion uint64
	// Loading is the greatest version whose load was started and has not failed.
	LoadingVersion uint64
	// Failures counts the calls that failed since the last success.
	Failures int
	// ReadingHead is true while a read of the head is under way.
	ReadingHead bool
	// ReadHeadAt is the earliest time of the next read of the head.
	ReadHeadAt time.Time
	// Orphan is true once the node has been without a parent for long.
	Orphaned bool
	// OrphanAt is when to consider a read of the head for want of a parent.
	OrphanAt time.Time
	// Waiting are the questions that need a read begun after them. Read only; replaced on change.
	PendingQuestions []HeadQuestion
	// StatusAt is when to write the status object.
	StatusAt time.Time
}

// HeadQuestion is a restarted node's request for a fresh read of the head.
type HeadQuestion struct {
	Address  string
	Question uint64
	// Received is when this relay got it; only a read begun later answers it.
	Received time.Time
}

// Same tells whether two questions are one that was repeated.
func (q HeadQuestion) IsRepeatOf(o HeadQuestion) bool {
	return q.Address == o.Address && q.Question == o.Question
}

// Heard is a version that a peer has and this node lacks.
type PeerVersion struct {
	Version uint64
	Address string
	// Near tells that the peer stands in this node's data centre.
	SameDataCentre bool
	// PullAt is when to pull it unless it has arrived by then.
	PullAt time.Time
	// NotBefore is the earliest time of PullAt after a pull that failed; zero before.
	RetryAt time.Time
}

// Lease is the entry of the elector.
type Lease struct {
	// Slot that this node holds as a relay; negative means none.
	Slot int
	// Epoch of the held lease. It grows each time a slot changes hands.
	Epoch uint64
	// Expires is when the held lease lapses unless renewed.
	Expires time.Time
	// Revision of the held lease object.
	Revision uint64
	// RenewAt is when to renew the held lease.
	RenewAt time.Time
	// ReadAt is when to read the leases of the data centre; zero before the first tick.
	ReadAt time.Time
	// Waited is when the first wait ended; zero before.
	InitialWaitEnded time.Time
	// Stopping is true once the node was asked to stop. It takes no lease any more.
	Stopping bool
	// Candidate is true while this node is one of those that read and claim leases.
	Candidate bool
	// BusyUntil is when the platform call under way has ended at the latest; zero when there is none.
	BusyUntil time.Time
	// Failures counts the platform calls that failed since the last success.
	Failures int
	// Relays of this data centre as last read, by slot. Read only.
	Relays []Relay
}

// Relay names the holder of a relay slot.
type Relay struct {
	Slot    int
	Epoch   uint64
	Host    string
	Address string
	Expires time.Time
}
