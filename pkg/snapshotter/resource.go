// Package snapshotter defines Snapshot, an immutable version of the mesh's
// configuration, and the operations on it that need no I/O: validating it,
// applying a change, computing the delta between two versions, encoding and
// decoding it, and finding the route of a request.
//
// A Snapshot is not modified after it is built. A new version is a new value:
//
//	next, err := snapshotter.Apply(running, change, ticket)
//
// Every resource records the ticket that set it last, so that a ticket with a
// lower number can be refused when it would overwrite a later one.
//
// A change or snapshot that breaks a rule gives *RefusedError, bytes that
// cannot be decoded give *MalformedError, and a delta that does not fit its
// base or its result gives *DigestMismatchError.
package snapshotter

import "sync/atomic"

// Class groups requests by how long they run and how soon they are needed.
type Class string

// The classes of requests.
const (
	// ClassUrgent marks checks between services, which must not wait.
	ClassUrgent Class = "urgent"
	// ClassShort marks ordinary reads and writes.
	ClassShort Class = "short"
	// ClassBulk marks long-running requests, such as uploads.
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
	// BulkPercent is the maximum share of the slots that bulk requests may hold, 1 to 100 percent.
	BulkPercent int `json:"bulk-percent" yaml:"bulk-percent"`
	// UrgentSlots is how many slots only urgent requests may use; less than Slots.
	UrgentSlots int `json:"urgent-slots" yaml:"urgent-slots"`
	// RetryPercent is the retry budget: how many retries are allowed for each hundred requests, 0 to 100.
	RetryPercent int `json:"retry-percent" yaml:"retry-percent"`
	// HealthPath is the path of a target's health check; empty means the default path of the target contract.
	HealthPath string `json:"health-path,omitempty" yaml:"health-path,omitempty"`
	// Ticket is the number of the ticket that set this resource last.
	Ticket uint64 `json:"ticket" yaml:"-"`
}

// Share is the portion of a route's requests that one service receives.
type Share struct {
	// Service names a service of the same snapshot.
	Service string `json:"service" yaml:"service"`
	// Weight is at least 1; the portion is the weight divided by the sum of the route's weights.
	Weight int `json:"weight" yaml:"weight"`
}

// CallerLimits bound what callers may send. 0 means that the node's settings decide.
type CallerLimits struct {
	// HeaderBytes is the maximum size of a request's headers, in bytes.
	HeaderBytes int `json:"header-bytes,omitempty"`
	// BodyBytes is the maximum size of a request's body, in bytes.
	BodyBytes int `json:"body-bytes,omitempty"`
	// HeaderTimeoutMs is how long a caller may take to send the headers of a request, in milliseconds.
	HeaderTimeoutMs int `json:"header-timeout-ms,omitempty"`
	// IdleTimeoutMs is how long a connection may stay idle between requests, in milliseconds.
	IdleTimeoutMs int `json:"idle-timeout-ms,omitempty"`
}

// Route sends requests whose path has a prefix to a service.
type Route struct {
	// Name is unique and in kebab case.
	Name string `json:"name" yaml:"name"`
	// Host is the host that requests must name; empty means any. Routes with a host are tried before those without.
	Host string `json:"host,omitempty" yaml:"host,omitempty"`
	// Prefix begins with a slash; the longest matching prefix wins, and no two routes of a host have the same one.
	Prefix string `json:"prefix" yaml:"prefix"`
	// Methods are the HTTP methods that the route accepts; empty means all.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	// Service names a service of the same snapshot.
	Service string `json:"service" yaml:"service"`
	// Split divides the requests among services by weight. Empty means that all
	// go to Service; otherwise Service is the first service of the split.
	Split []Share `json:"split,omitempty" yaml:"split,omitempty"`
	// Class is the class of the route's requests.
	Class Class `json:"class" yaml:"class"`
	// Idempotent reports whether running a request twice is harmless. Only then is a request that may have run retried.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// TimeoutMs is how long a request may take from its arrival, in milliseconds; at least 1.
	TimeoutMs int `json:"timeout-ms" yaml:"timeout-ms"`
	// MaxAttempts is the maximum number of targets that one request is sent to; 0 means the node's default.
	MaxAttempts int `json:"max-attempts,omitempty" yaml:"max-attempts,omitempty"`
	// TargetLatencyMs is the latency within which an answer keeps its full value, in milliseconds. It sets
	// the request's soft deadline; 0 means none.
	TargetLatencyMs int `json:"target-latency-ms,omitempty" yaml:"target-latency-ms,omitempty"`
	// Priority orders the waiting requests of a class; 0 is served first.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Keyless is set if requests need no access key.
	Keyless bool `json:"keyless,omitempty" yaml:"keyless,omitempty"`
	// LargeAnswers is set if answers are large, such as downloads.
	LargeAnswers bool `json:"large-answers,omitempty" yaml:"large-answers,omitempty"`
	// Ticket is the number of the ticket that set this resource last.
	Ticket uint64 `json:"ticket" yaml:"-"`
}

// Firm is a customer whose callers identify themselves by access keys. A snapshot
// without firms asks callers for no key.
type Firm struct {
	// Name is unique and in kebab case.
	Name string `json:"name" yaml:"name"`
	// Keys are the digests of the access keys, as DigestKey returns them, in ascending
	// order. No two firms share one. Empty means that the firm sends no requests.
	Keys []Digest `json:"keys" yaml:"keys"`
	// Rate is how many requests a second all nodes together run for the firm; 0 means no limit.
	Rate int `json:"rate,omitempty" yaml:"rate,omitempty"`
	// Burst is how many requests the firm may send at once on top of Rate.
	Burst int `json:"burst,omitempty" yaml:"burst,omitempty"`
	// Priority orders waiting requests of a class before the priority of their routes does;
	// 0 is served first.
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
	// Firms by name. Read only.
	Firms map[string]Firm `json:"firms,omitempty"`
	// RemovedServices holds the ticket that removed a service, by name. Read only.
	// A name is never both here and in Services.
	RemovedServices map[string]uint64 `json:"removed-services,omitempty"`
	// RemovedRoutes is the same for routes.
	RemovedRoutes map[string]uint64 `json:"removed-routes,omitempty"`
	// RemovedFirms is the same for firms.
	RemovedFirms map[string]uint64 `json:"removed-firms,omitempty"`
	// RemovedFloor is at least the ticket of every removal that is no longer
	// listed. A ticket not above it cannot set a resource that does not exist.
	RemovedFloor uint64 `json:"removed-floor,omitempty"`
	// CallerLimits bounds what callers may send.
	CallerLimits CallerLimits `json:"callers,omitzero"`

	// index is built from Routes and Services on first use.
	index atomic.Pointer[routeIndex]
	// keyOwners is built from Firms on first use.
	keyOwners atomic.Pointer[map[Digest]string]
	// shardDigests caches the digests of the shards; they are computed on first use.
	shardDigests atomic.Pointer[[ShardCount]Digest]
}

// Change holds the complete new state of the resources that a ticket sets, and
// the names of those that it removes.
type Change struct {
	Services       []Service `json:"services,omitempty" yaml:"services,omitempty"`
	Routes         []Route   `json:"routes,omitempty" yaml:"routes,omitempty"`
	Firms          []Firm    `json:"firms,omitempty" yaml:"firms,omitempty"`
	RemoveServices []string  `json:"remove-services,omitempty" yaml:"remove-services,omitempty"`
	RemoveRoutes   []string  `json:"remove-routes,omitempty" yaml:"remove-routes,omitempty"`
	RemoveFirms    []string  `json:"remove-firms,omitempty" yaml:"remove-firms,omitempty"`
}
