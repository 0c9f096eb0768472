// Package snapshotter holds the configuration of the mesh as one immutable
// value, the Snapshot, and everything that is decided about it without I/O:
// checking it, applying a change to it, and comparing two of them.
//
// A Snapshot is never changed after it is made. A new version is a new value:
//
//	next, err := snapshotter.Apply(running, changes, ticket)
//
// Every resource records the ticket that set it last, so that a ticket with a
// lower number can be refused when it would overwrite a later one.
package snapshotter

import "sync/atomic"

// Class groups requests by how long they run and how soon they are needed.
type Class string

// The classes of requests.
const (
	// ClassUrgent marks checks between services that must not wait.
	ClassUrgent Class = "urgent"
	// ClassShort marks ordinary reads and writes.
	ClassShort Class = "short"
	// ClassBulk marks requests that run long, such as uploads.
	ClassBulk Class = "bulk"
)

// Service describes a named set of targets.
type Service struct {
	// Name is unique and in kebab case.
	Name string `json:"name" yaml:"name"`
	// Firm owns the service; limits and histograms are kept for each firm.
	Firm string `json:"firm" yaml:"firm"`
	// Slots is how many requests a target runs at once; at least 1.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is how many connections a target accepts; at least Slots.
	Connections int `json:"connections" yaml:"connections"`
	// Queue is how many requests may wait at a target's node; 0 means none.
	Queue int `json:"queue" yaml:"queue"`
	// BulkPercent is the greatest share of the slots that bulk requests hold, 1 to 100.
	BulkPercent int `json:"bulk-percent" yaml:"bulk-percent"`
	// UrgentSlots is how many slots only urgent requests may use; less than Slots.
	UrgentSlots int `json:"urgent-slots" yaml:"urgent-slots"`
	// RetryPercent is how many retries are allowed for each hundred requests, 0 to 100.
	RetryPercent int `json:"retry-percent" yaml:"retry-percent"`
	// HealthPath is where a target tells its health; empty means the path of the target's contract.
	HealthPath string `json:"health-path,omitempty" yaml:"health-path,omitempty"`
	// Ticket is the number of the ticket that set this resource last.
	Ticket uint64 `json:"ticket" yaml:"-"`
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	// Service names a service of the same snapshot.
	Service string `json:"service" yaml:"service"`
	// Weight is at least 1; the part is the weight over the sum of all weights.
	Weight int `json:"weight" yaml:"weight"`
}

// CallerLimits bound what callers may send. 0 means that the node's settings decide.
type CallerLimits struct {
	HeaderBytes int `json:"header-bytes,omitempty"`
	BodyBytes   int `json:"body-bytes,omitempty"`
	// HeaderTimeoutMs is how long a caller may take to send the headers of a request, in milliseconds.
	HeaderTimeoutMs int `json:"header-timeout-ms,omitempty"`
	// IdleTimeoutMs is how long a connection may carry no request, in milliseconds.
	IdleTimeoutMs int `json:"idle-timeout-ms,omitempty"`
}

// Route sends requests whose path has a prefix to a service.
type Route struct {
	// Name is unique and in kebab case.
	Name string `json:"name" yaml:"name"`
	// Host that requests must name; empty means any. Routes of a host go before those of any host.
	Host string `json:"host,omitempty" yaml:"host,omitempty"`
	// Prefix begins with a slash; the longest matching prefix wins, and no two routes of a host share one.
	Prefix string `json:"prefix" yaml:"prefix"`
	// Methods that the route takes; empty means all.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	// Service names a service of the same snapshot.
	Service string `json:"service" yaml:"service"`
	// Split divides the requests among services; empty means that all go to Service, which otherwise is the first of them.
	Split []Share `json:"split,omitempty" yaml:"split,omitempty"`
	// Class of the requests of this route.
	Class Class `json:"class" yaml:"class"`
	// Idempotent tells that running a request twice is harmless. Only then is it sent again after it may have run.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// TimeoutMs is how long a request may take from its arrival, in milliseconds; at least 1.
	TimeoutMs int `json:"timeout-ms" yaml:"timeout-ms"`
	// MaxAttempts bounds the targets that one request is sent to; 0 means the node's own bound.
	MaxAttempts int `json:"max-attempts,omitempty" yaml:"max-attempts,omitempty"`
	// TargetLatencyMs is the time within which an answer has its full worth, in milliseconds; 0 when nothing is known of it.
	TargetLatencyMs int `json:"target-latency-ms,omitempty" yaml:"target-latency-ms,omitempty"`
	// Priority orders waiting requests of a class; 0 goes first.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Ticket is the number of the ticket that set this resource last.
	Ticket uint64 `json:"ticket" yaml:"-"`
}

// Snapshot is one version of the whole configuration.
type Snapshot struct {
	// Version grows by one with each accepted ticket; 0 is the empty configuration.
	Version uint64 `json:"version"`
	// Services by name. Read only.
	Services map[string]Service `json:"services"`
	// Routes by name. Read only. Each names a service of Services.
	Routes map[string]Route `json:"routes"`
	// RemovedServices holds the ticket that removed a service, by name. Read only.
	// A name is never both here and in Services.
	RemovedServices map[string]uint64 `json:"removed-services,omitempty"`
	// RemovedRoutes is the same for routes.
	RemovedRoutes map[string]uint64 `json:"removed-routes,omitempty"`
	// RemovedFloor is at least the ticket of every removal that is no longer
	// listed. A ticket not above it cannot set a resource that does not exist.
	RemovedFloor uint64 `json:"removed-floor,omitempty"`
	// Callers bounds what callers may send.
	CallerLimits CallerLimits `json:"callers,omitzero"`

	// index is made on first use from Routes and Services.
	index atomic.Pointer[index]
	// shards holds the digests of the shards, made on first use.
	shards atomic.Pointer[[ShardCount]Digest]
}

// Change is the whole new state of the resources that a ticket touches.
type Change struct {
	Services       []Service `json:"services,omitempty" yaml:"services,omitempty"`
	Routes         []Route   `json:"routes,omitempty" yaml:"routes,omitempty"`
	RemoveServices []string  `json:"remove-services,omitempty" yaml:"remove-services,omitempty"`
	RemoveRoutes   []string  `json:"remove-routes,omitempty" yaml:"remove-routes,omitempty"`
}
