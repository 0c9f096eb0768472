// Package enroller makes this node known to the others through the platform,
// and tells the board of them. Each node keeps one object with its address. An
// object says where a node is, not that it lives: that is for the subscriber to
// find out, so nothing is renewed and a mesh at rest writes nothing.
package enroller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/pkg/storer"
)

// Kind of the objects in the platform.
const Kind = "gentian-nodes"

const (
	// gatherFor is how long a starting node waits before it reads the others, so
	// that a mesh that starts as a whole is read once and not once a node.
	gatherFor = 500 * time.Millisecond
	// wait bounds one call: a node that is new tells those whom it finds, so events may be late.
	wait = 20 * time.Second
	// askEvery is how often the nodes ask that do not watch. What they miss until then
	// is which nodes were taken out for good.
	askEvery = 5 * time.Minute
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
	// removeTimeout bounds the removal when a node leaves for good.
	removeTimeout = 1 * time.Second
)

// Config holds what an enroller needs.
type Config struct {
	Self     blackboard.NodeRecord
	Platform storer.Client
	// State returns the state of the board; nil means that this node always watches.
	State func() *blackboard.State
	// Now returns the time of messages.
	Now func() time.Time
	Log *logger.Logger
}

// Effects of this controller.
type (
	enroll struct{}
	follow struct{}
	remove struct{}
)

// New returns the controller. It writes the entry Enrolment.
func New(cfg Config) blackboard.Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return blackboard.Controller{Name: "enroller", Reduce: Reduce, Run: cfg.run}
}

// Reduce answers one message. It is pure.
func Reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	switch msg.(type) {
	case blackboard.Tick:
		if s.Enrolment.Started {
			return s, nil
		}
		s.Enrolment.Started = true
		return s, []blackboard.Effect{enroll{}, follow{}}
	case blackboard.LeaveRequested:
		// A node whose target goes on will be started again at the same address.
		if s.Target.Evidence.Announced != blackboard.TargetDraining {
			return s, nil
		}
		return s, []blackboard.Effect{remove{}}
	}
	return s, nil
}

func (cfg Config) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e.(type) {
	case enroll:
		cfg.enroll(ctx)
	case follow:
		if poller.Sleep(ctx, gatherFor) {
			cfg.follow(ctx, post)
		}
	case remove:
		cfg.remove(ctx)
	}
}

func (cfg Config) key() string { return Kind + "/" + cfg.Self.Host }

// enroll writes this node's object until it is there as it should be.
func (cfg Config) enroll(ctx context.Context) {
	value, err := json.Marshal(cfg.Self)
	if err != nil {
		cfg.Log.Write(logger.EnrolFailed, logger.Fields{Err: err})
		return
	}
	for failures := 0; ctx.Err() == nil; {
		err := cfg.write(ctx, value)
		if err == nil {
			cfg.Log.Write(logger.Enrolled, logger.Fields{Peer: cfg.Self.Address, Count: failures})
			return
		}
		failures++
		if failures == 1 {
			cfg.Log.Write(logger.EnrolFailed, logger.Fields{Err: err})
		}
		poller.Sleep(ctx, poller.Backoff(failures))
	}
}

// write creates the object, or replaces it when it says something else. A write
// whose answer was lost is settled by trying again.
func (cfg Config) write(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := cfg.Platform.Put(ctx, cfg.key(), value, 0)
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	old, err := cfg.Platform.Get(ctx, cfg.key())
	if err != nil || bytes.Equal(compact(old.Value), value) {
		return err
	}
	_, err = cfg.Platform.Put(ctx, cfg.key(), value, old.Revision)
	return err
}

// compact removes white space that a store may have added to JSON.
func compact(value []byte) []byte {
	var out bytes.Buffer
	if json.Compact(&out, value) != nil {
		return value
	}
	return out.Bytes()
}

// remove takes this node's object away. It is left behind when the platform is
// away: other nodes find nobody at its address.
func (cfg Config) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	old, err := cfg.Platform.Get(ctx, cfg.key())
	if err == nil {
		err = cfg.Platform.Delete(ctx, cfg.key(), old.Revision)
	}
	if err != nil {
		cfg.Log.Write(logger.EnrolFailed, logger.Fields{Reason: "remove", Err: err})
	}
}

func (cfg Config) follow(ctx context.Context, post blackboard.Post) {
	p := poller.Poller{
		Kind: Kind, Client: cfg.Platform, MaxWait: wait, WatchPolicy: poller.WatchPolicy{State: cfg.State, PollInterval: askEvery},
		OnChange: func(c storer.Changes, whole bool) { cfg.changed(c, whole, post) },
		Log:      cfg.Log,
	}
	p.Run(ctx)
}

func (cfg Config) changed(c storer.Changes, whole bool, post blackboard.Post) {
	found := make([]blackboard.NodeRecord, 0, len(c.Objects))
	for _, o := range c.Objects {
		var record blackboard.NodeRecord
		if err := json.Unmarshal(o.Value, &record); err != nil || Kind+"/"+record.Host != o.Key || record.Address == "" {
			cfg.Log.Write(logger.EnrolmentRefused, logger.Fields{Reason: o.Key, Err: err})
			continue
		}
		found = append(found, record)
	}
	now := cfg.Now()
	if len(found) > 0 {
		post(blackboard.NodesFound{Nodes: found, Complete: whole, Now: now})
	}
	for _, key := range c.Removed {
		post(blackboard.NodeRemoved{Host: strings.TrimPrefix(key, Kind+"/"), Now: now})
	}
}
