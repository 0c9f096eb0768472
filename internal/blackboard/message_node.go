package blackboard

import (
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

// NodeRecord describes the location of a node.
type NodeRecord struct {
	// Host is unique in the mesh.
	Host string `json:"host"`
	// Address is the node's address for other nodes, as ip:port.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// LinkMbit is the speed of the host's link in Mbit/s; 0 when unknown.
	LinkMbit int `json:"link-mbit,omitempty"`
}

// NodesFound reports nodes that exist or have existed.
type NodesFound struct {
	Nodes []NodeRecord
	// SelfReported is true when the nodes themselves have just reported their records.
	SelfReported bool
	// Complete is true when the list holds every node that the platform knows; it may be
	// empty after a restore of the platform.
	Complete bool
	Now      time.Time
}

// NodeRemoved reports that a node has been removed from the mesh.
type NodeRemoved struct {
	Host string
	Now  time.Time
}

// NodeUpdated is a node's report of its own state.
type NodeUpdated struct {
	Host        string
	Incarnation uint64
	// Draining is true when the node accepts no requests from other nodes.
	Draining bool
	Target   TargetRecord
	// Version is the configuration version that the node runs; 0 when none.
	Version uint64
	// PlatformLost is true when the node cannot reach the platform.
	PlatformLost bool
	// PlatformEra is the greatest era of the platform that the node knows of; 0 when none.
	PlatformEra uint64
	// Order is the position of the state among those that the node has published.
	Order uint64
	Now   time.Time
}

// PlatformEraRead reports the era of the platform in an answer to this node.
type PlatformEraRead struct {
	Era uint64
	Now time.Time
}

// NodeLost reports that the stream to a node has ended.
type NodeLost struct {
	Host string
	// Address is the address that the stream was opened to. The message is ignored
	// when the member has another address by now.
	Address string
	// TimedOut is true when the node stopped responding; otherwise it refused or closed the stream.
	TimedOut bool
	// HostMismatch is true when another node answered at the address.
	HostMismatch bool
	Now          time.Time
}

// ConfigRead carries a validated configuration from the platform or from another node.
type ConfigRead struct {
	Snapshot *snapshotter.Snapshot
	// Source is the address of the node that sent the configuration; empty for the platform.
	Source string
	Now    time.Time
}

// ConfigRefused reports a configuration that cannot be read or that breaks a rule.
// Nothing of it is put in force.
type ConfigRefused struct {
	// Version is 0 when it cannot be read.
	Version uint64
	// Source is the address of the node that sent the configuration; empty for the platform.
	Source string
	// Reason never quotes an access key.
	Reason string
	Now    time.Time
}

// PlatformReachabilityChanged reports that this node has lost the platform, or reaches it again.
type PlatformReachabilityChanged struct {
	Lost bool
	Now  time.Time
}

// ConfigReadingDone reports that a node has read the configuration from the platform and
// runs the newest one that it found.
type ConfigReadingDone struct {
	// Host is the node that reports it; empty for this one.
	Host string
	// Revision and Era are the position in the changes of the platform that it has read.
	Revision, Era uint64
	// Version is what the other node runs.
	Version uint64
	Now     time.Time
}

// ConfigFetchFailed reports that a request to another node returned no newer configuration.
type ConfigFetchFailed struct {
	// Address is that of the node that was asked.
	Address string
	// Refused is true when it sent a configuration that is refused.
	Refused bool
	Now     time.Time
}
