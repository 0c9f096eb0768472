// Package loader reads the settings file of a node. It reports all problems at once,
// each with line and key. A node does not start with a file that has problems.
//
//	host: reyk-a-1
//	data-centre: reyk-a
//	region: is-south
//	rack: reyk-a-r1
//	listen:
//	  callers: 127.0.0.1:18001
//	  nodes: 127.0.0.1:18002
//	  targets: 127.0.0.1:18003
//	  admin: 127.0.0.1:18004
//	platform: http://127.0.0.1:18000
package loader

import "gentianbarrow.example/internal/logger"

// Settings holds the contents of the settings file, from which a node is built.
type Settings struct {
	// Host is the name of this host: unique in the mesh and in kebab case.
	Host string `yaml:"host" doc:"Name of this host, unique in the mesh."`
	// DataCentre is in kebab case.
	DataCentre string `yaml:"data-centre" doc:"Data centre of the host."`
	// Region is in kebab case.
	Region string `yaml:"region" doc:"Region of the data centre."`
	// Rack is in kebab case and unique within the data centre.
	Rack string `yaml:"rack" doc:"Rack of the host, unique within the data centre. Hosts of one rack fail together."`
	// Listen holds the addresses of this node. The addresses for callers, nodes, targets
	// and operators are distinct.
	Listen Listen `yaml:"listen" doc:"Addresses that the node listens on."`
	// Platform is the base URL of the object API.
	Platform string `yaml:"platform" doc:"Base URL of the platform's object API, with an IP address."`
	// PlatformAPI is the API of the platform.
	PlatformAPI PlatformAPI `yaml:"platform-api" doc:"API of the platform: gentian is this system's own object API, which stores tickets; objects is the API of the users' platform, which stores the configuration as one object." default:"gentian" oneof:"gentian objects"`
	// PlatformBounds is passed to platform.ParseBounds.
	PlatformBounds []string `yaml:"platform-bounds,omitempty" doc:"Parameters of the platform, such as limits and intervals, as name=value under the names that the platform uses. Required with the platform API objects."`
	// Target is the target of this host, if it is known before it announces itself.
	Target Target `yaml:"target" doc:"The target of this host, if it is known before it announces itself."`
	// SeedPeers are the addresses of nodes through which this node joins the mesh. If it
	// is empty, the node finds peers through the platform.
	SeedPeers []string `yaml:"seed-peers,omitempty" doc:"Addresses of nodes on other hosts of the data centre, through which this node joins the mesh. Optional: without them, the node finds peers through the platform."`
	// Limits holds the limits of the node.
	Limits Limits `yaml:"limits" doc:"Limits of the node."`
	// Log configures the log.
	Log Log `yaml:"log" doc:"Format and level of the log."`
}

// Listen holds addresses of the form ip:port.
type Listen struct {
	Callers string `yaml:"callers" doc:"Address for callers' HTTP requests."`
	Nodes   string `yaml:"nodes" doc:"Address for other nodes, TCP and UDP."`
	// Advertised is empty if other nodes reach this node at Nodes.
	Advertised string `yaml:"advertised,omitempty" doc:"Address at which other nodes reach this node, if it differs from listen.nodes."`
	Targets    string `yaml:"targets" doc:"Address for announcements of this host's target."`
	// Readiness is empty if the platform does not probe readiness.
	Readiness string `yaml:"readiness,omitempty" doc:"Address for the readiness probes of the platform. Required with the platform API objects."`
	Admin     string `yaml:"admin" doc:"Address for metrics, health and debugging, separate from the traffic of callers."`
}

// PlatformAPI names an API of the platform.
type PlatformAPI string

// The platform APIs.
const (
	// PlatformGentian is the object API of pkg/storer, with tickets and relays.
	PlatformGentian PlatformAPI = "gentian"
	// PlatformObjects is the API of the users' platform, implemented by package platform.
	PlatformObjects PlatformAPI = "objects"
)

// Target is the target of a host. With PlatformObjects both fields are required.
type Target struct {
	Address string `yaml:"address,omitempty" doc:"Address of the target, of the form ip:port. Required with the platform API objects."`
	Service string `yaml:"service,omitempty" doc:"Service that the target belongs to. Required with the platform API objects."`
}

// RunsThatCall says which runs of this host's target that call other services may be under way.
type RunsThatCall string

// The choices of RunsThatCall.
const (
	// RunsUnlimited lets them start like others.
	RunsUnlimited RunsThatCall = "unlimited"
	// RunsByCalledRoom limits them by how long their calls wait for room.
	RunsByCalledRoom RunsThatCall = "by-called-room"
)

// Limits holds the limits of the node.
type Limits struct {
	// CallerConnections is at least 1.
	CallerConnections int `yaml:"caller-connections" doc:"Maximum number of open connections from callers." default:"4096" min:"1" max:"65536"`
	// HeaderBytes is at least 1024.
	HeaderBytes int `yaml:"header-bytes" doc:"Maximum size of the headers of a request, in bytes." default:"65536" min:"1024" max:"262144"`
	// DrainSeconds is how long a stopping node waits for requests in flight before it
	// aborts them; 0 means without limit.
	DrainSeconds int `yaml:"drain-seconds" doc:"How long a stopping node waits for requests in flight before it aborts them, in seconds. 0 means without limit." default:"0" min:"0" max:"86400"`
	// RunsThatCall limits the runs of this host's target.
	RunsThatCall RunsThatCall `yaml:"runs-that-call" doc:"Limit of the runs of this host's target that call other services: unlimited, or by-called-room to refuse them while their calls wait long for room." default:"unlimited" oneof:"unlimited by-called-room"`
}

// Log configures the log.
type Log struct {
	Format logger.Format `yaml:"format" doc:"Format of the log: text or json." default:"text" oneof:"text json"`
	Level  logger.Level  `yaml:"level" doc:"Lowest level of events that are written: debug, info, warn or error." default:"info" oneof:"debug info warn error"`
}
