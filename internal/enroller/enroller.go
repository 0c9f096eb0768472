// Package enroller registers this node with the platform and reports the other
// registered nodes to the board. Each node keeps one object with its address. An
// object gives the location of a node and does not imply that the node is alive:
// the subscriber detects that. So no object has to be renewed, and a mesh in which
// no node joins, moves or leaves writes nothing.
//
// The object also keeps the latest statement of the node's target that it drains or
// leaves, which must outlive the process of the node that acknowledges it. Nodes learn
// the statements of each other's targets from there too. A node that stops beside a
// target that leaves cannot tell whether its host goes for good or whether it is started
// again beside the same target. So it only marks its object, and a node that watches the
// objects removes it later.
//
// When the platform is restored from a copy it may lose objects. Nodes tell each
// other its era, and each one makes sure that its object is there in a new era.
package enroller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/pkg/storer"
)

// Kind is the kind of the nodes' objects in the platform.
const Kind = "gentian-nodes"

const (
	// startDelay is how long a starting node waits before it reads the other nodes'
	// objects. When a whole mesh starts, one read then finds most of them, instead of
	// one read for each node that appears.
	startDelay = 500 * time.Millisecond
	// watchTimeout bounds one watch call. Late events do no harm, because a new node
	// contacts the nodes that it finds.
	watchTimeout = 20 * time.Second
	// batchDelay is the wait after a change before the next watch call. Only removals
	// wait for it, and a removed node gets no requests by then.
	batchDelay = 5 * time.Second
	// pollInterval is the time between two reads by a node that does not watch. Until
	// its next read, such a node misses only which nodes were removed permanently.
	pollInterval = 5 * time.Minute
	// confirmRate is how many nodes a second confirm their objects after a restore, a
	// quarter of the reads that the platform takes.
	confirmRate = 500
	// leaveTimeout bounds the marking of this node's object when it stops.
	leaveTimeout = 1 * time.Second
	// forgetDelay is how long the object of a node that has left is kept. A target that
	// leaves may go on serving for some of that time, and its announcements may be late.
	forgetDelay = 10 * time.Minute
)

// Config configures an enroller.
type Config struct {
	Self     blackboard.NodeRecord
	Platform storer.Client
	// State returns the state of the board; nil means that this node always watches.
	State func() *blackboard.State
	// Now returns the time for messages; nil means time.Now.
	Now func() time.Time
	Log *logger.Logger
}

// Effects of this controller.
type (
	// enroll writes this node's object.
	enroll struct{}
	// confirm writes this node's object if it is missing. nodes is how many nodes may do
	// so at the same time.
	confirm struct{ nodes int }
	// recordDeparture writes the departure of the target to this node's object. recorded
	// may be nil. An object that was marked for removal is not created again.
	recordDeparture struct {
		recorded func()
		removed  bool
	}
	// poll follows the other nodes' objects.
	poll struct{}
	// leave marks this node's object for removal.
	leave struct{}
	// forget removes the object of another node once its time has come.
	forget struct{ left blackboard.NodeLeft }
)

// New returns the controller that owns the entry Enrolment.
func New(cfg Config) blackboard.Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return blackboard.Controller{Name: "enroller", Reduce: Reduce, Run: cfg.run}
}

// Reduce handles one message. It is pure.
func Reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	switch msg := msg.(type) {
	case blackboard.Tick:
		if s.Enrolment.Started {
			return s, nil
		}
		s.Enrolment.Started = true
		return s, []blackboard.Effect{enroll{}, poll{}}
	case blackboard.NodesFound:
		if !msg.Complete || isListed(msg.Nodes, s.Self.Host) {
			return s, nil
		}
		return s, confirmation(&s, 1)
	case blackboard.PlatformEraRead:
		return noteEra(s, msg.Era)
	case blackboard.NodeUpdated:
		return noteEra(s, msg.PlatformEra)
	case blackboard.TargetDeparted:
		return s, []blackboard.Effect{recordDeparture{recorded: msg.Recorded, removed: s.Enrolment.Removed}}
	case blackboard.LeaveRequested:
		// A node whose target keeps running is expected to restart at the same
		// address, so its object stays.
		if s.Target.Evidence.Announced != blackboard.TargetDraining {
			return s, nil
		}
		s.Enrolment.Removed, s.Enrolment.ForgetAt = true, msg.Now.Add(forgetDelay)
		return s, []blackboard.Effect{leave{}}
	case blackboard.NodeLeft:
		if msg.Host == s.Self.Host {
			return s, nil
		}
		return s, []blackboard.Effect{forget{left: msg}}
	}
	return s, nil
}

// noteEra applies an era that this node or another one has read. In one that follows
// another, this node's object may be gone.
func noteEra(s blackboard.State, era uint64) (blackboard.State, []blackboard.Effect) {
	before := s.Enrolment.Era
	if era <= before {
		return s, nil
	}
	s.Enrolment.Era = era
	if before == 0 {
		return s, nil
	}
	return s, confirmation(&s, len(s.Members.ByHost)+1)
}

// confirmation returns the effect that confirms this node's object, or none before
// the node registers itself and once it leaves.
func confirmation(s *blackboard.State, nodes int) []blackboard.Effect {
	if !s.Enrolment.Started || s.Enrolment.Removed {
		return nil
	}
	return []blackboard.Effect{confirm{nodes: nodes}}
}

func isListed(nodes []blackboard.NodeRecord, host string) bool {
	return slices.ContainsFunc(nodes, func(n blackboard.NodeRecord) bool { return n.Host == host })
}

func (cfg Config) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case enroll:
		cfg.enroll(ctx, func(ctx context.Context) error { return cfg.createObject(ctx, post) })
	case confirm:
		if poller.Sleep(ctx, rand.N(time.Duration(e.nodes)*time.Second/confirmRate)) {
			cfg.enroll(ctx, cfg.confirmObject)
		}
	case recordDeparture:
		cfg.recordDeparture(ctx, e)
	case poll:
		if poller.Sleep(ctx, startDelay) {
			cfg.poll(ctx, post)
		}
	case leave:
		cfg.leave(ctx)
	case forget:
		cfg.forget(ctx, e.left)
	}
}

// poll follows the nodes' objects in the platform until ctx is done.
func (cfg Config) poll(ctx context.Context, post blackboard.Post) {
	p := poller.Poller{
		Kind: Kind, Client: cfg.Platform, MaxWait: watchTimeout, BatchDelay: batchDelay, WatchPolicy: poller.WatchPolicy{State: cfg.State, PollInterval: pollInterval},
		OnScan:   func(era uint64) { post(blackboard.PlatformEraRead{Era: era, Now: cfg.Now()}) },
		OnChange: func(c storer.Changes, whole bool) { cfg.reportChanges(c, whole, post) },
		Log:      cfg.Log,
	}
	p.Run(ctx)
}

// InvalidRecordError reports an object that does not hold the record of a node.
type InvalidRecordError struct{ Field string }

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("%s of the node is not valid", e.Field)
}

// decodeRecord reads the record of a node. Other programs may write objects of this kind.
func decodeRecord(o storer.Object) (blackboard.NodeRecord, error) {
	var record blackboard.NodeRecord
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return record, err
	}
	_, port, err := net.SplitHostPort(record.Address)
	if err != nil {
		return record, err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	switch {
	case Kind+"/"+record.Host != o.Key:
		return record, &InvalidRecordError{Field: "host"}
	case err != nil || number == 0:
		return record, &InvalidRecordError{Field: "address"}
	case record.DataCentre == "":
		return record, &InvalidRecordError{Field: "data-centre"}
	case record.LinkMbit < 0:
		return record, &InvalidRecordError{Field: "link-mbit"}
	}
	return record, nil
}

// reportChanges posts the nodes that appeared or changed and those that were removed. It
// logs and skips objects that are not valid.
func (cfg Config) reportChanges(c storer.Changes, whole bool, post blackboard.Post) {
	records := make([]blackboard.NodeRecord, 0, len(c.Objects))
	var departures []blackboard.HostDeparture
	for _, o := range c.Objects {
		record, err := decodeRecord(o)
		if err != nil {
			cfg.Log.Write(logger.EnrolmentRefused, logger.Fields{Reason: o.Key, Err: err})
			continue
		}
		records = append(records, record)
		if d := decodeDeparture(o.Value); d.ID != "" {
			departures = append(departures, blackboard.HostDeparture{Host: record.Host, DataCentre: record.DataCentre, TargetDeparture: d})
		}
		if at := decodeForgetAt(o.Value); !at.IsZero() {
			post(blackboard.NodeLeft{Host: record.Host, Revision: o.Revision, ForgetAt: at})
		}
	}
	now := cfg.Now()
	if len(records) > 0 || whole {
		post(blackboard.NodesFound{Nodes: records, Complete: whole, Now: now})
	}
	if len(departures) > 0 {
		post(blackboard.DeparturesReported{Departures: departures, Now: now})
	}
	for _, key := range c.Removed {
		post(blackboard.NodeRemoved{Host: strings.TrimPrefix(key, Kind+"/"), Now: now})
	}
}
