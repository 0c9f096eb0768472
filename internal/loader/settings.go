// Package loader reads the settings file of a node. It is strict: it reports
// every problem at once, each with its line and key, and a file with a problem
// starts nothing.
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

// Settings are all that a node is told at its start.
type Settings struct {
	// Host is unique in the mesh and in kebab case.
	Host string `yaml:"host" doc:"Name of this host, unique in the mesh."`
	// DataCentre is in kebab case.
	DataCentre string `yaml:"data-centre" doc:"Data centre that the host stands in."`
	// Region is in kebab case.
	Region string `yaml:"region" doc:"Region of the data centre."`
	// Rack is in kebab case and unique within the data centre.
	Rack string `yaml:"rack" doc:"Rack of the host, unique within the data centre. Hosts of one rack fail together."`
	// Listen holds the addresses of this node; no two are the same.
	Listen Listen `yaml:"listen" doc:"Addresses that the node listens on."`
	// Platform is the base URL of the object API.
	Platform string `yaml:"platform" doc:"Base URL of the platform's object API, with an IP address."`
	// PlatformAPI tells how the platform is spoken to.
	PlatformAPI PlatformAPI `yaml:"platform-api" doc:"How the platform is spoken to: gentian is this system's own object API, with tickets in it; objects is the API of the users' platform, which holds the configuration as one object." default:"gentian" oneof:"gentian objects"`
	// PlatformBounds are passed on to the platform's adapter.
	PlatformBounds []string `yaml:"platform-bounds,omitempty" doc:"Figures of the platform as name=value, in its own names. Required with the platform API objects."`
	// Target is the target of this host where it is known beforehand.
	Target Target `yaml:"target" doc:"The target of this host, where it is known beforehand."`
	// SeedPeers are node addresses to join by; empty means that peers are found through the platform.
	SeedPeers []string `yaml:"seed-peers,omitempty" doc:"Node addresses of other hosts of the data centre, to join by. Optional: without it, peers are found through the platform."`
	// Limits bound what the node takes.
	Limits Limits `yaml:"limits" doc:"Bounds on what the node takes."`
	// Log tells how events are written.
	Log Log `yaml:"log" doc:"How events are written."`
}

// Listen holds addresses as ip:port.
type Listen struct {
	Callers string `yaml:"callers" doc:"Address for callers' HTTP requests."`
	Nodes   string `yaml:"nodes" doc:"Address for other nodes, TCP and UDP."`
	// Advertised is empty where other nodes reach Nodes itself.
	Advertised string `yaml:"advertised,omitempty" doc:"Address that other nodes are told, where they reach this one by another than nodes."`
	Targets    string `yaml:"targets" doc:"Address for announcements of this host's target."`
	// Readiness is empty where the platform does not ask.
	Readiness string `yaml:"readiness,omitempty" doc:"Address for the platform's question whether the node takes requests. Required with the platform API objects."`
	Admin     string `yaml:"admin" doc:"Address for metrics, health and debugging, apart from callers' traffic."`
}

// PlatformAPI tells how the platform is spoken to.
type PlatformAPI string

// The platform APIs.
const (
	// PlatformGentian is the object API of pkg/storer, with tickets and relays.
	PlatformGentian PlatformAPI = "gentian"
	// PlatformObjects is the API of the users' platform, met by the package platform.
	PlatformObjects PlatformAPI = "objects"
)

// Target is the target of a host. Both fields are empty, or neither is.
type Target struct {
	Address string `yaml:"address,omitempty" doc:"Address of the target, as ip:port. Required with the platform API objects."`
	Service string `yaml:"service,omitempty" doc:"Service that the target belongs to. Required with the platform API objects."`
}

// Limits bound what the node takes.
type Limits struct {
	// CallerConnections is at least 1.
	CallerConnections int `yaml:"caller-connections" doc:"Open connections from callers, at most." default:"4096" min:"1" max:"65536"`
	// HeaderBytes is at least 1024.
	HeaderBytes int `yaml:"header-bytes" doc:"Size of a request's headers, at most, in bytes." default:"65536" min:"1024" max:"262144"`
	// DrainSeconds is how long a stopping node waits for requests before it may be made to cut them.
	DrainSeconds int `yaml:"drain-seconds" doc:"How long a stopping node waits for its requests, in seconds. 0 means without end." default:"0" min:"0" max:"86400"`
}

// Log tells how events are written.
type Log struct {
	Format logger.Format `yaml:"format" doc:"text or json." default:"text" oneof:"text json"`
	Level  logger.Level  `yaml:"level" doc:"The least urgent level that is written: debug, info, warn or error." default:"info" oneof:"debug info warn error"`
}
