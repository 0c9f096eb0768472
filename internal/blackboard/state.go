package blackboard

import "time"

// State is all that a node knows. Each entry has one writer, named beside it.
type State struct {
	// Self is fixed at start and written by no controller.
	Self Self
	// Life is written by the drainer.
	Lifecycle Lifecycle
	// Config is written by the follower.
	Config Config
	// Lease is written by the elector.
	Lease Lease
	// Members is written by the gossiper, or by the subscriber where nodes know each other through the platform.
	Members Members
	// Enrolment is written by the enroller.
	Enrolment Enrolment
	// Target is written by the announcer.
	Target Target
}

// Self identifies the node.
type Self struct {
	// Host is unique in the mesh.
	Host       string
	DataCentre string
	Region     string
	// Rack is unique within a data centre.
	Rack string
	// Address for other nodes, as ip:port.
	Address string
	// Incarnation is greater than that of any earlier process on this host.
	Incarnation uint64
	// LinkMbit is the speed of the host's link in Mbit/s; 0 when not known.
	LinkMbit int
}

// Enrolment is the entry of the enroller.
type Enrolment struct {
	// Started tells that this node makes itself known and looks for others.
	Started bool
}

// LifePhase is where a node stands between start and stop.
type LifecyclePhase string

// The phases of a node's life, in order.
const (
	// LifeStarting means that no configuration is in force yet: nothing is served.
	LifecycleStarting LifecyclePhase = "starting"
	// LifeServing means that new requests are taken.
	LifecycleServing LifecyclePhase = "serving"
	// LifeDraining means that no new request is taken while those in flight finish.
	LifecycleDraining LifecyclePhase = "draining"
	// LifeStopped means that the process may end.
	LifecycleStopped LifecyclePhase = "stopped"
)

// Life is the entry of the drainer.
type Lifecycle struct {
	Phase LifecyclePhase
	// StopRequests counts the requests to stop. The second logs what an end would cut, the third ends.
	StopRequests int
	// EndAt is when a draining node ends unless a request is still in flight.
	StopAt time.Time
	// PeersUntil is until when a draining node takes requests of other nodes; zero when it takes none.
	AcceptPeersUntil time.Time
	// LingerUntil is until when a draining node takes callers' requests; zero when it takes none.
	AcceptCallersUntil time.Time
	// CutAt is when the node ends also with requests in flight; zero means never.
	ForceStopAt time.Time
	// InFlight is the latest count while draining.
	InFlight int
}

// TakesPeers tells that the node takes requests of other nodes.
func (l Lifecycle) AcceptsPeers() bool {
	return l.Phase != LifecycleStopped && (l.Phase != LifecycleDraining || !l.AcceptPeersUntil.IsZero())
}

// MemberStatus is what a node believes of another.
type MemberStatus string

// The states of a member.
const (
	MemberAlive   MemberStatus = "alive"
	MemberSuspect MemberStatus = "suspect"
	MemberDead    MemberStatus = "dead"
	// MemberLeft means that the node said itself that it is going.
	MemberLeft MemberStatus = "left"
)

// Member is a node of the same data centre as others know it.
type Member struct {
	Host       string
	Address    string
	DataCentre string
	// Region is empty when all members are in one data centre.
	Region string
	Rack   string
	// Incarnation is raised only by the member itself.
	Incarnation uint64
	Status      MemberStatus
	// Changed is when the status last changed, by the reader's clock.
	ChangedAt time.Time
	// Forget is when a dead or left member is dropped from the table; zero otherwise.
	ForgetAt time.Time
	// Target is what the member announced of its host's target.
	Target TargetRecord
	// LinkMbit is the speed of the host's link in Mbit/s; 0 when not known.
	LinkMbit int
	// PlatformLost tells that the member says it does not reach the platform.
	PlatformLost bool
}

// TargetPhase is what a target says of itself.
type TargetPhase string

// The phases of a target.
const (
	// TargetNone means that the host has no target.
	TargetNone TargetPhase = "none"
	// TargetCold means that the target is starting and takes little.
	TargetCold TargetPhase = "cold"
	// TargetReady means that the target takes work.
	TargetReady TargetPhase = "ready"
	// TargetDraining means that the target takes no new work.
	TargetDraining TargetPhase = "draining"
	// TargetFailed means that its announcements stopped or its checks fail.
	TargetFailed TargetPhase = "failed"
)

// TargetRecord is the announcement of a target that nodes pass on.
type TargetRecord struct {
	// Service that the target belongs to; empty when Phase is "none".
	Service string
	Phase   TargetPhase
	Slots   int
	// Revision grows with each change and orders records of one incarnation.
	Revision uint64
}

// Members is the entry of the gossiper or the subscriber. Remote and Summary are the summarizer's part of it.
type Members struct {
	// ByHost holds the nodes of this data centre, this node included. Read only; replaced on change.
	ByHost map[string]Member
	// Mistaken holds, by host, an address at which another node answered. What others
	// say of it is ignored until the node itself says so. Read only; replaced on change.
	MismatchedAddresses map[string]string
	// Told is what the subscriber has told the others of this node.
	Published NodeState
	// Listed tells that the platform has said who there is.
	Listed bool
	// Tellings counts the changes of Told.
	PublishCount uint64
	// Known names the members of ByHost in order of host. The subscriber keeps it. Read only; replaced on change.
	Records []NodeRecord
	// Remote holds a summary of each other data centre. Read only; replaced on change.
	Remote map[string]DataCentreSummary
	// Gossip is the state of the membership protocol; nil before the first message. Read only; replaced on change.
	Gossip *Gossip
	// Summary is the state of the exchange of summaries; nil before the first message. Read only; replaced on change.
	Summary *SummaryExchange
}

// NodeState is what a node tells others of itself.
type NodeState struct {
	Draining bool
	// Version of the configuration in force; 0 when none.
	Version uint64
	Target  TargetRecord
	// Known counts the nodes that it knows.
	KnownNodes int
	// Listed tells that it has read from the platform who there is.
	Listed bool
	// PlatformLost tells that the node does not reach the platform.
	PlatformLost bool
}

// DataCentreSummary is what a data centre tells the others.
type DataCentreSummary struct {
	DataCentre string
	Region     string
	// Epoch and Sequence order summaries: the greater pair wins.
	Epoch    uint64
	Sequence uint64
	// Received is when the news left its data centre, by the clock of this node.
	Received time.Time
	// Digest covers Services.
	Digest uint64
	// Services in order of name. Read only; replaced on change.
	Services []ServiceSummary
}

// ServiceSummary counts the ready targets of a service in one data centre.
type ServiceSummary struct {
	Service string
	// Targets is 0 when the last target of the service is gone.
	Targets int
	Slots   int
	// Changed is the sequence of the summary at which this entry changed last.
	ChangedSequence uint64
	// Hosts names a bounded sample of the nodes that have such a target.
	Hosts []RemoteHost
}

// RemoteHost is a node in another data centre that has a target of a service.
type RemoteHost struct {
	Host    string
	Address string
}

// Target is the entry of the announcer: the target on this host.
type Target struct {
	Record TargetRecord
	// ID names the target's process; empty when targets have no ids.
	ID string
	// Address of the target, as ip:port.
	Address string
	// Renewed is when the target last announced itself.
	AnnouncedAt time.Time
	// Lapses is when the target counts as failed unless it announces itself again.
	ExpiresAt time.Time
	// ReadySince is when the target last became ready; new work is ramped from then.
	ReadySince time.Time
	// Connections is how many connections the target accepts.
	Connections int
	// Started is when the target's process began by its own word, in milliseconds since the Unix epoch; 0 when not told.
	Started int64
	// Sequence of the announcement heard last; an earlier one of the same process is late.
	Sequence uint64
	// Evidence is what decides whether an announced target is believed.
	Evidence TargetEvidence
}
