package blackboard

import (
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

// NodeRecord tells where a node is.
type NodeRecord struct {
	// Host is unique in the mesh.
	Host string `json:"host"`
	// Address for other nodes, as ip:port.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	// LinkMbit is the speed of the host's link in Mbit/s; 0 when not known.
	LinkMbit int `json:"link-mbit,omitempty"`
}

// NodesFound tells of nodes that exist or have existed.
type NodesFound struct {
	Nodes []NodeRecord
	// Certain tells that the nodes themselves have just said where they are.
	SelfReported bool
	// Whole tells that there are no others, as far as the platform knows.
	Complete bool
	Now      time.Time
}

// NodeRemoved tells that a node has been taken out of the mesh.
type NodeRemoved struct {
	Host string
	Now  time.Time
}

// NodeUpdated is what a node says of itself.
type NodeUpdated struct {
	Host        string
	Incarnation uint64
	// Draining tells that the node takes no work.
	Draining bool
	Target   TargetRecord
	// Version of the configuration that the node runs; 0 when none.
	Version uint64
	// PlatformLost tells that the node does not reach the platform.
	PlatformLost bool
	Now          time.Time
}

// NodeLost tells that the stream to a node has ended.
type NodeLost struct {
	Host string
	// Address that the stream went to; another one has replaced it if the member has another.
	Address string
	// Silent tells that the node stopped answering; otherwise it refused or closed the stream.
	TimedOut bool
	// Mistaken tells that another node answered at the address.
	HostMismatch bool
	Now          time.Time
}

// ConfigRead carries a validated configuration, from the platform or from a node.
type ConfigRead struct {
	Snapshot *snapshotter.Snapshot
	// Source is the address of the node that it came from; empty for the platform.
	Source string
	Now    time.Time
}

// PlatformSeen tells that this node has lost the platform, or has it back.
type PlatformReachabilityChanged struct {
	Lost bool
	Now  time.Time
}

// ConfigAskEnded tells that a node could not hand out a newer configuration.
type ConfigFetchFailed struct{ Now time.Time }
