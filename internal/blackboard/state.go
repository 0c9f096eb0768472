package blackboard

import "time"

// State is the shared state of a node. Each entry has one writer, named in its comment.
type State struct {
	// Self is fixed at start and written by no controller.
	Self Self
	// Lifecycle is written by the drainer.
	Lifecycle Lifecycle
	// Config is written by the follower, or by the fetcher on a node that reads the configuration from the platform itself.
	Config Config
	// Lease is written by the elector.
	Lease Lease
	// Members is written by the gossiper, or by the subscriber where nodes find each other through the platform.
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
	// Address is the node's address for other nodes, as ip:port.
	Address string
	// Incarnation is greater than that of any earlier process on this host.
	Incarnation uint64
	// LinkMbit is the speed of the host's link in Mbit/s; 0 when unknown.
	LinkMbit int
}

// Enrolment is the entry of the enroller.
type Enrolment struct {
	// Started is true once this node registers itself with the platform and looks for other nodes.
	Started bool
	// Removed is true once this node has begun to mark its registration for removal,
	// because it leaves for good as far as it can tell.
	Removed bool
	// ForgetAt is when the registration may be removed; zero unless Removed is true.
	ForgetAt time.Time
	// Era is the greatest era of the platform, as in storer.Changes, that this node knows
	// of; 0 when none. It never falls.
	Era uint64
}

// LifecyclePhase is the phase of a node between start and stop.
type LifecyclePhase string

// The phases of a node, in order.
const (
	// LifecycleStarting means that no configuration is in force yet and no request is served.
	LifecycleStarting LifecyclePhase = "starting"
	// LifecycleServing means that new requests are accepted.
	LifecycleServing LifecyclePhase = "serving"
	// LifecycleDraining means that the node is stopping and requests in flight finish. New
	// requests are accepted only until AcceptCallersUntil and AcceptPeersUntil.
	LifecycleDraining LifecyclePhase = "draining"
	// LifecycleStopped means that the process may exit.
	LifecycleStopped LifecyclePhase = "stopped"
)

// Lifecycle is the entry of the drainer.
type Lifecycle struct {
	Phase LifecyclePhase
	// StopRequests counts the stop requests. The second logs which requests a forced
	// stop would abort; the third forces the stop.
	StopRequests int
	// StopAt is when a draining node stops unless a request is still in flight.
	StopAt time.Time
	// AcceptPeersUntil is until when a draining node accepts requests from other nodes; zero when it accepts none.
	AcceptPeersUntil time.Time
	// AcceptCallersUntil is until when a draining node accepts callers' requests; zero when it accepts none.
	AcceptCallersUntil time.Time
	// ForceStopAt is when the node stops even with requests in flight; zero means never.
	ForceStopAt time.Time
	// InFlight is the latest count of requests in flight while draining.
	InFlight int
}

// AcceptsPeers reports whether the node accepts requests from other nodes.
func (l Lifecycle) AcceptsPeers() bool {
	return l.Phase != LifecycleStopped && (l.Phase != LifecycleDraining || !l.AcceptPeersUntil.IsZero())
}

// MemberStatus is the status of a member as this node sees it.
type MemberStatus string

// The statuses of a member.
const (
	// MemberAlive means that the node responds.
	MemberAlive MemberStatus = "alive"
	// MemberSuspect means that the node does not respond and may have failed.
	MemberSuspect MemberStatus = "suspect"
	// MemberDead means that the node counts as failed. Under the subscriber, a node
	// that has not yet been reached is also dead.
	MemberDead MemberStatus = "dead"
	// MemberLeft means that the node itself announced that it leaves.
	MemberLeft MemberStatus = "left"
)

// Member is a node as other nodes know it. Under the gossiper, all members are of
// one data centre.
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
	// ChangedAt is when the status last changed, by the clock of the node that holds the
	// record. The subscriber sets it when any field changes.
	ChangedAt time.Time
	// ForgetAt is when a dead or left member is dropped from the table; zero otherwise.
	ForgetAt time.Time
	// Target is the member's report on its host's target.
	Target TargetRecord
	// LinkMbit is the speed of the host's link in Mbit/s; 0 when unknown.
	LinkMbit int
	// PlatformLost is true when the member reports that it cannot reach the platform.
	PlatformLost bool
	// Order is the position of the state among those that the member has published in its
	// incarnation. Only the subscriber sets it.
	Order uint64
}

// TargetPhase is the phase of a target.
type TargetPhase string

// The phases of a target.
const (
	// TargetNone means that the host has no target.
	TargetNone TargetPhase = "none"
	// TargetCold means that the target is starting and accepts little work.
	TargetCold TargetPhase = "cold"
	// TargetReady means that the target accepts work.
	TargetReady TargetPhase = "ready"
	// TargetDraining means that the target accepts no new work.
	TargetDraining TargetPhase = "draining"
	// TargetFailed means that the target's announcements stopped, or that requests to it or its health checks fail.
	TargetFailed TargetPhase = "failed"
)

// TargetRecord is the state of a target that nodes pass on to each other.
type TargetRecord struct {
	// Service is the service that the target belongs to.
	Service string
	Phase   TargetPhase
	Slots   int
	// Revision grows with each change and orders records of one incarnation.
	Revision uint64
}

// Members is the entry of the gossiper or the subscriber. The summarizer writes Remote and Summary.
type Members struct {
	// ByHost holds the members by host. Under the gossiper, they are the nodes of this data
	// centre, this node included; under the subscriber, all other nodes of the mesh.
	// Read-only; replaced on change.
	ByHost map[string]Member
	// MismatchedAddresses holds, by host, an address at which another node answered.
	// Reports of the host at this address are ignored unless they come from the host
	// itself. Read-only; replaced on change.
	MismatchedAddresses map[string]string
	// Published is the state of this node that the subscriber last published to other nodes.
	Published NodeState
	// Listed is true once the subscriber has the platform's list of nodes.
	Listed bool
	// PublishCount counts the changes of Published.
	PublishCount uint64
	// Records holds the records of the members of ByHost in host order. Only the
	// subscriber maintains it. Read-only; replaced on change.
	Records []NodeRecord
	// Changes counts the changes of ByHost by the subscriber.
	Changes uint64
	// Views holds what nodes report of the other data centres. The members of ByHost in
	// those data centres follow from it. Read-only; replaced on change.
	Views map[ViewKey]View
	// ViewChanges counts the changes of the views whose source is this node.
	ViewChanges uint64
	// Observed holds the other data centres that this node observes for its own, so that
	// the others of its data centre need no stream there. Read-only; replaced on change.
	Observed map[string]bool
	// ObserveAt is when a node that has just started may begin to observe; zero before the first tick.
	ObserveAt time.Time
	// UnobserveAt is when a node that is no longer among the first of its data centre
	// stops observing; zero while it is among them.
	UnobserveAt time.Time
	// Departures holds the statements of targets by host, this node's included. It keeps
	// those of hosts that have left until the platform drops the host. Only the subscriber
	// maintains it. Read-only; replaced on change.
	Departures map[string]HostDeparture
	// DepartureChanges counts the changes of Departures.
	DepartureChanges uint64
	// Remote holds the summaries of the other data centres by data centre. Read-only; replaced on change.
	Remote map[string]DataCentreSummary
	// Gossip is the state of the membership protocol; nil before the first message. Read-only; replaced on change.
	Gossip *Gossip
	// Summary is the state of the exchange of summaries; nil before the first message. Read-only; replaced on change.
	Summary *SummaryExchange
}

// NodeState is the state of a node that it publishes to other nodes.
type NodeState struct {
	// Draining is true when the node accepts no requests from other nodes.
	Draining bool
	// Version is the version of the configuration in force; 0 when none.
	Version uint64
	Target  TargetRecord
	// KnownNodes is the number of other nodes that the node knows.
	KnownNodes int
	// Listed is true once the node has the platform's list of nodes.
	Listed bool
	// PlatformLost is true when the node cannot reach the platform.
	PlatformLost bool
	// PlatformEra is the greatest era of the platform that the node knows of; 0 when none.
	PlatformEra uint64
}

// DataCentreSummary is a summary of a data centre's targets for the other data centres.
type DataCentreSummary struct {
	DataCentre string
	Region     string
	// Epoch and Sequence order summaries: the greater pair wins.
	Epoch    uint64
	Sequence uint64
	// Received is when this version of the summary left its data centre, by the clock of this node.
	Received time.Time
	// Digest is the digest of Services.
	Digest uint64
	// Services holds the services in order of name. Read-only; replaced on change.
	Services []ServiceSummary
}

// ServiceSummary counts the ready targets of a service in one data centre.
type ServiceSummary struct {
	Service string
	// Targets is 0 when the last target of the service is gone.
	Targets int
	Slots   int
	// ChangedSequence is the sequence of the summary in which this entry last changed.
	ChangedSequence uint64
	// Hosts holds a bounded sample of the nodes that have such a target.
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
	// ID identifies the target's process; empty where targets have no ids.
	ID string
	// Address is the target's address, as ip:port.
	Address string
	// AnnouncedAt is when the target last announced itself.
	AnnouncedAt time.Time
	// ExpiresAt is when the target counts as failed unless it announces itself again.
	ExpiresAt time.Time
	// ReadySince is when the target last became ready; new work is ramped up from then.
	ReadySince time.Time
	// Connections is how many connections the target accepts.
	Connections int
	// Started is when the target's process started by its own report, in milliseconds
	// since the Unix epoch; 0 when not reported.
	Started int64
	// Sequence is the sequence number of the latest announcement. One of the same
	// process that is not greater arrived out of order and is ignored.
	Sequence uint64
	// Evidence decides whether the phase that the target announces is accepted.
	Evidence TargetEvidence
	// Departure is the latest statement of a process of the target that it leaves; the
	// zero value when none has made one. The platform keeps it for later processes of
	// this node.
	Departure TargetDeparture
	// DepartureRead is true once the node knows what the platform keeps of it.
	DepartureRead bool
	// AssumeStayingAt is when announcements count although the platform has not been
	// read; zero before the first tick or announcement.
	AssumeStayingAt time.Time
}
