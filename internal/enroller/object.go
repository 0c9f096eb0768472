package enroller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/pkg/storer"
)

const (
	// writeTimeout bounds one attempt to write this node's object.
	writeTimeout = 2 * time.Second
	// recordTimeout is how long a target waits for the record of its departure. It takes an
	// answer that comes within a second, and has to get one while the platform is away.
	recordTimeout = 600 * time.Millisecond
	// minForgetDelay is how long a node that has just started waits before it removes an
	// object, so that it knows by then which nodes watch the objects.
	minForgetDelay = 5 * time.Second
)

// nodeObject is the value of a node's object.
type nodeObject struct {
	blackboard.NodeRecord
	// Departure is the latest statement of the node's target that it drains or leaves; nil
	// when there is none.
	Departure *blackboard.TargetDeparture `json:"target-departure,omitempty"`
	// ForgetAt is when the object may be removed; nil unless the node has stopped beside
	// a target that was leaving.
	ForgetAt *time.Time `json:"forget-at,omitempty"`
}

func (cfg Config) objectKey() string { return Kind + "/" + cfg.Self.Host }

// departure returns the departure that the object has to hold.
func (cfg Config) departure() blackboard.TargetDeparture {
	if cfg.State == nil {
		return blackboard.TargetDeparture{}
	}
	return cfg.State().Target.Departure
}

// encodeObject returns the value of this node's object.
func (cfg Config) encodeObject(d blackboard.TargetDeparture) ([]byte, error) {
	o := nodeObject{NodeRecord: cfg.Self}
	if d.ID != "" {
		o.Departure = &d
	}
	if cfg.State != nil {
		if at := cfg.State().Enrolment.ForgetAt.UTC(); !at.IsZero() {
			o.ForgetAt = &at
		}
	}
	return json.Marshal(o)
}

// decodeForgetAt returns when the object with a value may be removed; the zero value when
// it belongs to a node of the mesh or another program has written the value.
func decodeForgetAt(value []byte) time.Time {
	var o nodeObject
	if json.Unmarshal(value, &o) != nil || o.ForgetAt == nil {
		return time.Time{}
	}
	return *o.ForgetAt
}

// decodeDeparture returns the departure in a value; the zero value when there is none or
// another program has written the value.
func decodeDeparture(value []byte) blackboard.TargetDeparture {
	var o nodeObject
	if json.Unmarshal(value, &o) != nil || o.Departure == nil {
		return blackboard.TargetDeparture{}
	}
	return *o.Departure
}

// enroll writes this node's object by the given function and retries until the platform
// holds it.
func (cfg Config) enroll(ctx context.Context, write func(ctx context.Context) error) {
	if failures, ok := cfg.retry(ctx, "", write); ok {
		cfg.Log.Write(logger.Enrolled, logger.Fields{Peer: cfg.Self.Address, Count: failures})
	}
}

// retry calls write until it succeeds and returns how often it failed; ok is false when
// ctx ends before. It logs the first failure with the reason.
func (cfg Config) retry(ctx context.Context, reason string, write func(ctx context.Context) error) (failures int, ok bool) {
	for ctx.Err() == nil {
		err := write(ctx)
		if err == nil {
			return failures, true
		}
		failures++
		if failures == 1 {
			cfg.Log.Write(logger.EnrolFailed, logger.Fields{Reason: reason, Err: err})
		}
		poller.Sleep(ctx, poller.Backoff(failures))
	}
	return failures, false
}

// createObject creates the object, or replaces it when its value differs, and reports
// which departure it holds. After a write whose response was lost, a retry finds the
// object in place and succeeds.
func (cfg Config) createObject(ctx context.Context, post blackboard.Post) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	d, err := cfg.putObject(ctx, storer.Object{})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		d, err = cfg.readAndPutObject(ctx)
	}
	if err == nil {
		post(blackboard.TargetDepartureRead{Departure: d, Now: cfg.now()})
	}
	return err
}

// confirmObject writes the object if it is missing or differs.
func (cfg Config) confirmObject(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := cfg.readAndPutObject(ctx)
	return err
}

// readAndPutObject reads the object, writes it if it is missing or differs, and returns
// the departure that it holds.
func (cfg Config) readAndPutObject(ctx context.Context) (blackboard.TargetDeparture, error) {
	old, err := cfg.Platform.Get(ctx, cfg.objectKey())
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return blackboard.TargetDeparture{}, err
	}
	return cfg.putObject(ctx, old)
}

// putObject writes the object over its old state if its value differs, and returns the
// departure that it holds: the newest of the one that this process knows and the old one.
func (cfg Config) putObject(ctx context.Context, old storer.Object) (blackboard.TargetDeparture, error) {
	d := cfg.departure()
	if kept := decodeDeparture(old.Value); kept.Supersedes(d) {
		d = kept
	}
	value, err := cfg.encodeObject(d)
	if err != nil || bytes.Equal(compactJSON(old.Value), value) {
		return d, err
	}
	_, err = cfg.Platform.Put(ctx, cfg.objectKey(), value, old.Revision)
	return d, err
}

// recordDeparture writes the object until the platform holds the departure. It calls
// recorded then, or when recordTimeout has passed, since the target has to be answered
// while the platform is away too.
func (cfg Config) recordDeparture(ctx context.Context, e recordDeparture) {
	if e.recorded != nil {
		timer := time.AfterFunc(recordTimeout, e.recorded)
		defer func() {
			if timer.Stop() && ctx.Err() == nil {
				e.recorded()
			}
		}()
	}
	if e.removed {
		cfg.retry(ctx, "departure", cfg.updateObject)
		return
	}
	cfg.retry(ctx, "departure", cfg.confirmObject)
}

// leave marks this node's object for removal. An object that stays unmarked because the
// platform cannot be reached is harmless, since other nodes get no response at its address.
func (cfg Config) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	cfg.retry(ctx, "leave", cfg.updateObject)
}

// updateObject writes the object if it differs, but does not create one that is missing.
func (cfg Config) updateObject(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	old, err := cfg.Platform.Get(ctx, cfg.objectKey())
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err == nil {
		_, err = cfg.putObject(ctx, old)
	}
	return err
}

// forget removes the object of a node that has left, if this node watches the objects by
// the time at which that is due. A node that has returned has written its object anew,
// which then has another revision.
func (cfg Config) forget(ctx context.Context, left blackboard.NodeLeft) {
	if !poller.Sleep(ctx, max(time.Until(left.ForgetAt), minForgetDelay)) || cfg.State != nil && !poller.IsWatcher(cfg.State()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := cfg.Platform.Delete(ctx, Kind+"/"+left.Host, left.Revision)
	var missing *storer.NotFoundError
	var conflict *storer.ConflictError
	if err != nil && !errors.As(err, &missing) && !errors.As(err, &conflict) {
		cfg.Log.Write(logger.EnrolFailed, logger.Fields{Reason: "forget " + left.Host, Err: err})
	}
}

// compactJSON removes white space that the platform may have added to the JSON value.
func compactJSON(value []byte) []byte {
	var out bytes.Buffer
	if json.Compact(&out, value) != nil {
		return value
	}
	return out.Bytes()
}

func (cfg Config) now() time.Time {
	if cfg.Now == nil {
		return time.Now()
	}
	return cfg.Now()
}
