package subscriber

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/internal/wirepb"
)

const (
	// openTimeout bounds the opening of a stream.
	openTimeout = 1 * time.Second
	// quickTries is how often a lost node is tried about once a second: no longer than longLost.
	quickTries = 15
	// longPauses multiplies the time between later tries.
	longPauses = 5
)

// MistakenError tells that another node answers at an address.
type HostMismatchError struct{ Want, Got string }

func (e *HostMismatchError) Error() string {
	return fmt.Sprintf("node at the address is %q, not %q", e.Got, e.Want)
}

// phases of targets on the wire.
var phases = map[blackboard.TargetPhase]wirepb.TargetState{
	blackboard.TargetNone:     wirepb.TargetState_TARGET_STATE_NONE,
	blackboard.TargetCold:     wirepb.TargetState_TARGET_STATE_COLD,
	blackboard.TargetReady:    wirepb.TargetState_TARGET_STATE_READY,
	blackboard.TargetDraining: wirepb.TargetState_TARGET_STATE_DRAINING,
	blackboard.TargetFailed:   wirepb.TargetState_TARGET_STATE_FAILED,
}

func phaseOf(state wirepb.TargetState) blackboard.TargetPhase {
	for phase, s := range phases {
		if s == state {
			return phase
		}
	}
	return blackboard.TargetNone
}

// follow keeps a stream to a node until another effect replaces or ends it.
func (b *Subscriber) follow(ctx context.Context, e subscribe, post blackboard.Post) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b.replace(e.host, stream{address: e.address, cancel: cancel})
	for failures := 0; ctx.Err() == nil; {
		received, err := b.receive(ctx, e, post)
		if ctx.Err() != nil {
			return
		}
		if received {
			failures = 0
		}
		failures++
		var mistaken *HostMismatchError
		var timeout net.Error
		post(blackboard.NodeLost{
			Host: e.host, Address: e.address, Now: b.cfg.Now(),
			TimedOut: errors.As(err, &timeout) && timeout.Timeout(), HostMismatch: errors.As(err, &mistaken),
		})
		if mistaken != nil {
			b.cfg.Log.Write(logger.NodeMistaken, logger.Fields{Host: e.host, Peer: e.address, Err: err})
			return
		}
		poller.Sleep(ctx, pause(failures))
	}
}

// pause returns how long to wait before a lost node is tried again. One that has
// been away for long subscribes to this node when it is back, which ends the wait.
func pause(failures int) time.Duration {
	if failures > quickTries {
		return poller.Backoff(failures) * longPauses
	}
	return poller.Backoff(failures)
}

func (b *Subscriber) replace(host string, s stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.following[host]; ok {
		old.cancel()
	}
	b.following[host] = s
}

func (b *Subscriber) end(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.following[host]; ok {
		old.cancel()
		delete(b.following, host)
	}
}

// receive opens a stream and posts each update until it ends, and tells whether any came.
func (b *Subscriber) receive(ctx context.Context, e subscribe, post blackboard.Post) (received bool, err error) {
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := b.cfg.Open(opening, e.address)
	if err != nil {
		return false, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	o, _ := b.own()
	request := &wirepb.SubscribeRequest{Self: encodeRecord(b.cfg.Self), Host: e.host, WantsKnown: !o.state.Listed}
	if err := encoder.Write(s, request, encoder.MaxControlBytes); err != nil {
		return false, err
	}
	var latest blackboard.NodeUpdated
	for {
		if err := s.SetReadDeadline(time.Now().Add(silentAfter)); err != nil {
			return received, err
		}
		var m wirepb.NodeUpdate
		if err := encoder.Read(s.Reader, &m, encoder.MaxControlBytes); err != nil {
			return received, err
		}
		switch {
		case m.GetHost() == e.host:
			latest = b.decode(&m)
		case m.GetHost() != "" || !received:
			return received, &HostMismatchError{Want: e.host, Got: m.GetHost()}
		}
		received = true
		if known := decodeRecords(m.GetKnown()); len(known) > 0 {
			post(blackboard.NodesFound{Nodes: known, Now: b.cfg.Now()})
		}
		if l := encoder.LoadOf(m.GetLoad()); l != nil {
			b.cfg.OnLoad(e.host, latest.Target.Service, *l)
		}
		latest.Now = b.cfg.Now()
		post(latest)
	}
}

func (b *Subscriber) decode(m *wirepb.NodeUpdate) blackboard.NodeUpdated {
	return blackboard.NodeUpdated{
		Host: m.GetHost(), Incarnation: m.GetIncarnation(), Draining: m.GetDraining(), Version: m.GetVersion(),
		Target: blackboard.TargetRecord{
			Service: m.GetService(), Phase: phaseOf(m.GetTarget()), Slots: int(m.GetSlots()), Revision: m.GetRevision(),
		},
		PlatformLost: m.GetPlatformLost(),
	}
}

// Serve sends this node's updates to a subscriber until the stream ends.
func (b *Subscriber) Serve(ctx context.Context, s *linker.Stream) {
	var request wirepb.SubscribeRequest
	if s.SetReadDeadline(time.Now().Add(openTimeout)) != nil {
		return
	}
	if err := encoder.Read(s.Reader, &request, encoder.MaxControlBytes); err != nil {
		return
	}
	if request.GetHost() == b.cfg.Self.Host {
		itself := decodeRecords([]*wirepb.NodeRecord{request.GetSelf()})
		b.cfg.Post(blackboard.NodesFound{Nodes: itself, SelfReported: true, Now: b.cfg.Now()})
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	var told map[string]bool
	if request.GetWantsKnown() {
		told = map[string]bool{request.GetSelf().GetHost(): true}
	}
	near := request.GetSelf().GetDataCentre() == b.cfg.Self.DataCentre
	b.send(ctx, s, told, near)
}

// send writes updates until the stream ends. Nodes in told are known to the
// subscriber; nil means that it wants to hear of none. A near subscriber is told
// of the load as well: bytes between data centres are dear.
func (b *Subscriber) send(ctx context.Context, s *linker.Stream, told map[string]bool, near bool) {
	ticker := time.NewTicker(updateEvery)
	defer ticker.Stop()
	o, changed := b.own()
	latest := b.encode(o, told)
	for update := latest; ; {
		if err := write(s, update); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			o, changed = b.own()
			update = b.encode(o, told)
			if proto.Equal(update, latest) {
				update = nil
				continue
			}
			latest = update
		case <-ticker.C:
			update = &wirepb.NodeUpdate{Load: b.load(near)}
		}
	}
}

// load returns what a subscriber is told of the target's load; nil is nothing.
func (b *Subscriber) load(near bool) *wirepb.TargetLoad {
	l, known := b.cfg.Load()
	if !near || !known {
		return nil
	}
	return encoder.Load(l, b.cfg.Incarnation)
}

// write sends an update; nil is none.
func write(s *linker.Stream, update *wirepb.NodeUpdate) error {
	if update == nil {
		return nil
	}
	if err := s.SetWriteDeadline(time.Now().Add(silentAfter)); err != nil {
		return err
	}
	return encoder.Write(s, update, encoder.MaxControlBytes)
}

func (b *Subscriber) encode(o own, told map[string]bool) *wirepb.NodeUpdate {
	t := &o.state.Target
	m := &wirepb.NodeUpdate{
		Host: b.cfg.Self.Host, Incarnation: b.cfg.Incarnation, Draining: o.state.Draining, Version: o.state.Version,
		Service: t.Service, Target: phases[t.Phase], Slots: uint32(t.Slots), Revision: t.Revision, PlatformLost: o.state.PlatformLost,
	}
	for _, n := range o.known {
		if told != nil && !told[n.Host] {
			told[n.Host] = true
			m.Known = append(m.Known, encodeRecord(n))
		}
	}
	return m
}
