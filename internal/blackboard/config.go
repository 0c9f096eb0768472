package blackboard

import (
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

// Config is the configuration entry. The follower writes it, or the fetcher on
// a node that reads the configuration from the platform itself.
type Config struct {
	// Running is the snapshot that is in force. The follower leaves it nil until
	// it has a snapshot that is not older than any that this host has run. Its
	// version never decreases while the process runs.
	Running *snapshotter.Snapshot
	// Floor is the greatest version that this node has recorded, whether it
	// loaded the version or acknowledged it as a witness. It never decreases.
	Floor uint64
	// MinVersion is the Floor at the end of the recovery. The first Running is not lower.
	MinVersion uint64
	// Recovering is true until the node knows which versions are safe to run first.
	Recovering bool
	// Parent is the address of the node's parent in the distribution tree; empty when there is none.
	Parent string
	// Stage holds the version that is validated but not yet in force.
	Stage Stage
	// Recent holds the newest versions that this node can make deltas from, oldest first. Read-only.
	Recent []*snapshotter.Snapshot
	// Tree is the node's position in the distribution tree below the relays.
	Tree Tree
	// Recovery is the progress of a restarted node. It is meaningful only while Recovering is true.
	Recovery Recovery
	// Source is the state of the node's reads and watches of the platform.
	Source Source
	// PeerVersion is the greatest version that a peer is known to have and this node lacks.
	PeerVersion PeerVersion
	// Refused is the version that this node cannot read or that breaks a rule; its SinceAt
	// is zero when there is none.
	Refused RefusedVersion
	// Refusals counts the versions that this node has refused.
	Refusals uint64
	// PollerStarted reports whether the node has started to poll the platform
	// itself. It stays false where relays distribute the configuration.
	PollerStarted bool
	// PlatformLost reports whether the platform does not respond to this node's poller.
	PlatformLost bool
	// Reading is the latest reading of the platform by a node of this data centre.
	Reading ConfigReading
}

// ConfigReading tells how far the configuration has been read from the platform. It is
// comparable.
type ConfigReading struct {
	// Revision and Era are the position in the changes of the platform up to which this
	// node has them all, from its own reads or from other nodes; zero when unknown.
	Revision, Era uint64
	// ExpiresAt is until when the reading shows that there is no newer configuration; zero
	// before the first one.
	ExpiresAt time.Time
}

// RefusedVersion is a version that was refused whole. It is kept until a version that is
// not lower is in force.
type RefusedVersion struct {
	// Version is 0 when the version could not be read either.
	Version uint64
	// Source is the address of the node that sent it; empty for the platform.
	Source string
	// Reason tells what is wrong with it. It never quotes an access key.
	Reason string
	// SinceAt is when the version was first refused.
	SinceAt time.Time
}

// IsSet reports whether a version is refused.
func (r RefusedVersion) IsSet() bool { return !r.SinceAt.IsZero() }

// NoteRefused records that a version was refused, unless it is not greater than the
// running one.
func (c *Config) NoteRefused(r RefusedVersion) {
	if c.Running != nil && r.Version != 0 && r.Version <= c.Running.Version {
		return
	}
	if c.Refused.IsSet() && c.Refused.Version == r.Version {
		r.SinceAt = c.Refused.SinceAt
	} else {
		c.Refusals++
	}
	c.Refused = r
}

// ForgetRefused drops the refused version once a version is in force that is not lower.
func (c *Config) ForgetRefused() {
	if c.Running != nil && c.Refused.Version <= c.Running.Version {
		c.Refused = RefusedVersion{}
	}
}

// Stage is a complete, validated version that is put in force once enough
// witnesses have recorded it. While nothing is staged, it holds the witnesses of
// the running version.
type Stage struct {
	// Next is nil when nothing is staged. Its version is greater than that of Running.
	Next *snapshotter.Snapshot
	// Witnesses holds the hosts that have recorded the version, by host. Read-only; replaced on change.
	Witnesses map[string]Witness
	// Asked holds the time of the pending witness request to each host, by host. Read-only; replaced on change.
	Asked map[string]time.Time
	// AskAt is when to ask further hosts to record the version.
	AskAt time.Time
	// WarnAt is when to log next that the version still lacks witnesses.
	WarnAt time.Time
	// RefreshAt is when to have the running version recorded again.
	RefreshAt time.Time
	// KnownMembers is the number of members when the running version was last recorded.
	KnownMembers int
}

// Witness is a host that has recorded a version.
type Witness struct {
	Rack string
	// ExpiresAt is when the acknowledgement stops counting.
	ExpiresAt time.Time
}

// Tree is the position of a node in the distribution tree.
type Tree struct {
	// ParentHost is empty when the node has no parent.
	ParentHost string
	// Joined is true once the parent has responded.
	Joined bool
	// SilentAt is when the parent counts as lost unless a heartbeat arrives before.
	SilentAt time.Time
	// Path holds the hash of each ancestor, nearest first. Read-only.
	Path []uint32
	// Attempt counts the parents tried since the last one that responded.
	Attempt int
	// Hints are addresses that a node named when it refused this one as a child. Read-only.
	Hints []string
	// JoinAt is when to look for a parent.
	JoinAt time.Time
	// ReportAt is when to report to the parent.
	ReportAt time.Time
	// HeartbeatAt is when to send the next heartbeat to the children.
	HeartbeatAt time.Time
	// Stopping is true once the node is stopping: it has released its children and accepts no more.
	Stopping bool
	// Children holds the node's children by host; bounded by the follower. Read-only; replaced on change.
	Children map[string]Child
}

// Child is a node whose parent in the distribution tree is this node.
type Child struct {
	Host    string
	Address string
	// Version is the version that the child has or was last sent.
	Version uint64
	// SilentAt is when the child counts as lost unless it reports before.
	SilentAt time.Time
	// InForce counts the nodes in the child's subtree, the child included, by the version in force. Read-only.
	InForce map[uint64]int
}

// Recovery is the progress of a restarted node in finding out which versions it
// may safely run first. It must not run a version older than one that an earlier
// process on its host has run.
type Recovery struct {
	// StartedAt is when the process started.
	StartedAt time.Time
	// Question identifies the requests of this process, so that answers to an earlier process are ignored.
	Question uint64
	// AskHeadAt is when to ask a peer next for a fresh read of the head.
	AskHeadAt time.Time
	// ReadAt is when this node next considers reading the head from the platform itself.
	ReadAt time.Time
	// AskFloorsAt is when to ask further members for their floors.
	AskFloorsAt time.Time
	// Asked holds the time at which each host was last asked for its floor, by host. Read-only; replaced on change.
	Asked map[string]time.Time
	// Answers holds the floors that hosts have answered with, by host. Read-only; replaced on change.
	Answers map[string]uint64
	// MaxReportedMembers is the greatest number of known members that an answer has reported.
	MaxReportedMembers int
	// WarnAt is when to log next that the recovery is not complete.
	WarnAt time.Time
}

// Source is the state of a node's reads and watches of the platform. Relays
// watch the platform; other nodes read it only in recovery or without a parent.
type Source struct {
	// Revision is the revision of the head object when last seen.
	Revision uint64
	// Watching is true while a watch is pending.
	Watching bool
	// WatchAt is when to start the next watch.
	WatchAt time.Time
	// DeferredVersion is the greatest version whose load was left to another relay.
	DeferredVersion uint64
	// LoadingVersion is the greatest version whose load was started and has not failed.
	LoadingVersion uint64
	// Failures counts the calls that failed since the last success.
	Failures int
	// ReadingHead is true while a read of the head is in progress.
	ReadingHead bool
	// ReadHeadAt is the earliest time of the next read of the head.
	ReadHeadAt time.Time
	// Orphaned is true once OrphanAt has passed without a parent.
	Orphaned bool
	// OrphanAt is when a node without a parent next considers reading the head.
	OrphanAt time.Time
	// PendingQuestions holds the requests for a read of the head that starts after they
	// were received. Read-only; replaced on change.
	PendingQuestions []HeadQuestion
	// StatusAt is when to write the status object.
	StatusAt time.Time
}

// HeadQuestion is a restarted node's request for a fresh read of the head.
type HeadQuestion struct {
	Address  string
	Question uint64
	// Received is when this relay received the request; only a read that starts later answers it.
	Received time.Time
}

// IsRepeatOf reports whether q and o are the same request, sent more than once.
func (q HeadQuestion) IsRepeatOf(o HeadQuestion) bool {
	return q.Address == o.Address && q.Question == o.Question
}

// PeerVersion is a version that a peer has and this node lacks.
type PeerVersion struct {
	Version uint64
	// Address is the address of the peer; empty where Holders are kept.
	Address string
	// Holders are peers that have the version and are not being asked for it, in the order
	// in which they are to be asked. Read-only; replaced on change.
	Holders []VersionHolder
	// Asked are the peers that are being asked for it. Read-only; replaced on change.
	Asked []VersionHolder
	// PullAt is when to pull the version from the next peer unless it has arrived by then.
	PullAt time.Time
	// RetryAt is the lower bound of PullAt after a failed pull; zero while none has failed.
	RetryAt time.Time
}

// VersionHolder is a peer that has a version. It is comparable.
type VersionHolder struct {
	Address string
	// SameDataCentre reports whether the peer is in this node's data centre.
	SameDataCentre bool
	// Failed is true once the peer was asked for the version and did not send it.
	Failed bool
}

// Lease is the entry of the elector.
type Lease struct {
	// Slot is the relay slot that this node holds; negative means none.
	Slot int
	// Epoch is the epoch of the held lease. It grows each time a slot changes holder.
	Epoch uint64
	// Expires is when the held lease expires unless renewed.
	Expires time.Time
	// Revision is the revision of the held lease object.
	Revision uint64
	// RenewAt is when to renew the held lease.
	RenewAt time.Time
	// ReadAt is when to read the leases of the data centre; zero before the first tick.
	ReadAt time.Time
	// InitialWaitEnded is when the wait after start ended; zero before that.
	InitialWaitEnded time.Time
	// Stopping is true once the node was asked to stop. It then claims no lease.
	Stopping bool
	// Candidate is true while this node is one of those that read and claim leases.
	Candidate bool
	// BusyUntil is when the platform call in progress ends at the latest; zero when there is none.
	BusyUntil time.Time
	// Failures counts the platform calls that failed since the last success.
	Failures int
	// Relays holds the relays of this data centre as last read, in slot order. Read-only.
	Relays []Relay
}

// Relay identifies the holder of a relay slot.
type Relay struct {
	Slot    int
	Epoch   uint64
	Host    string
	Address string
	Expires time.Time
}
