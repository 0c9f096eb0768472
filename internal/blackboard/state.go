package blackboard

import (
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

// State is all that a node knows. Each entry has one writer, named beside it.
type State struct {
	// Self is fixed at start and written by no controller.
	Self Self
	// Life is written by the drainer.
	Life Life
	// Config is written by the follower.
	Config Config
	// Lease is written by the elector.
	Lease Lease
	// Members is written by the gossiper.
	Members Members
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
}

// LifePhase is where a node stands between start and stop.
type LifePhase string

// The phases of a node's life, in order.
const (
	// LifeStarting means that no configuration is in force yet: nothing is served.
	LifeStarting LifePhase = "starting"
	// LifeServing means that new requests are taken.
	LifeServing LifePhase = "serving"
	// LifeDraining means that no new request is taken while those in flight finish.
	LifeDraining LifePhase = "draining"
	// LifeStopped means that the process may end.
	LifeStopped LifePhase = "stopped"
)

// Life is the entry of the drainer.
type Life struct {
	Phase LifePhase
	// StopRequests counts the requests to stop. The second logs what an end would cut, the third ends.
	StopRequests int
	// CountFrom is when requests in flight are first counted. Set while draining.
	CountFrom time.Time
	// CutAt is when the node ends also with requests in flight; zero means never.
	CutAt time.Time
	// InFlight is the latest count while draining.
	InFlight int
}

// Config is the entry of the follower.
type Config struct {
	// Running is what requests are served by; nil until the node knows that it
	// is not older than what this host has run. Its version never decreases.
	Running *snapshotter.Snapshot
	// Floor is the greatest version known to be in force on any host. Running is never replaced by a lower one.
	Floor uint64
	// Recovering is true until the node has evidence for a safe first version.
	Recovering bool
	// Parent is the address that the node follows; empty means none.
	Parent string
}

// Lease is the entry of the elector.
type Lease struct {
	// Slot that this node holds as a relay; negative means none.
	Slot int
	// Epoch of the held lease. It grows each time a slot changes hands.
	Epoch uint64
	// Expires is when the held lease lapses unless renewed.
	Expires time.Time
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
	Rack       string
	// Incarnation is raised only by the member itself.
	Incarnation uint64
	Status      MemberStatus
	// Changed is when the status last changed, by the reader's clock.
	Changed time.Time
	// Target is what the member announced of its host's target.
	Target TargetRecord
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

// Members is the entry of the gossiper.
type Members struct {
	// ByHost holds the nodes of this data centre, this node included. Read only; replaced on change.
	ByHost map[string]Member
	// Remote holds a summary of each other data centre. Read only; replaced on change.
	Remote map[string]DataCentreSummary
}

// DataCentreSummary is what a data centre tells the others.
type DataCentreSummary struct {
	DataCentre string
	Region     string
	// Epoch and Sequence order summaries: the greater pair wins.
	Epoch    uint64
	Sequence uint64
	// Received is when this node learned it, by its own clock.
	Received time.Time
	Services []ServiceSummary
}

// ServiceSummary counts the ready targets of a service in one data centre.
type ServiceSummary struct {
	Service string
	Targets int
	Slots   int
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
	// Address of the target, as ip:port.
	Address string
	// Renewed is when the target last announced itself.
	Renewed time.Time
	// Lapses is when the target counts as failed unless it announces itself again.
	Lapses time.Time
	// ReadySince is when the target last became ready; new work is ramped from then.
	ReadySince time.Time
}
