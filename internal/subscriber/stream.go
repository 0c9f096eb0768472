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
	// openTimeout bounds the time to open a stream, and on the serving side the wait for the request on it.
	openTimeout = 1 * time.Second
	// fastRetries is the number of failures in a row after which retries become slower.
	// The pause between fast retries is less than 1 second, so the pauses add up to less than longLost.
	fastRetries = 15
	// slowRetryFactor multiplies the pause between later retries.
	slowRetryFactor = 5
)

// HostMismatchError reports that another node than the wanted one answers at an address.
type HostMismatchError struct{ Want, Got string }

func (e *HostMismatchError) Error() string {
	return fmt.Sprintf("node at the address is %q, not %q", e.Got, e.Want)
}

// targetStates maps the phases of targets to their values on the wire.
var targetStates = map[blackboard.TargetPhase]wirepb.TargetState{
	blackboard.TargetNone:     wirepb.TargetState_TARGET_STATE_NONE,
	blackboard.TargetCold:     wirepb.TargetState_TARGET_STATE_COLD,
	blackboard.TargetReady:    wirepb.TargetState_TARGET_STATE_READY,
	blackboard.TargetDraining: wirepb.TargetState_TARGET_STATE_DRAINING,
	blackboard.TargetFailed:   wirepb.TargetState_TARGET_STATE_FAILED,
}

func targetPhase(state wirepb.TargetState) blackboard.TargetPhase {
	for phase, s := range targetStates {
		if s == state {
			return phase
		}
	}
	return blackboard.TargetNone
}

// maintainStream keeps a stream to a node open until another effect replaces or ends it.
// It stops when another node answers at the address.
func (sub *Subscriber) maintainStream(ctx context.Context, e subscribe, post blackboard.Post) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub.replaceStream(e.host, stream{address: e.address, cancel: cancel})
	for failures := 0; ctx.Err() == nil; {
		received, err := sub.receiveUpdates(ctx, e, post)
		if ctx.Err() != nil {
			return
		}
		if received {
			failures = 0
		}
		failures++
		var mismatch *HostMismatchError
		var timeout net.Error
		post(blackboard.NodeLost{
			Host: e.host, Address: e.address, Now: sub.cfg.Now(),
			TimedOut: errors.As(err, &timeout) && timeout.Timeout(), HostMismatch: errors.As(err, &mismatch),
		})
		if mismatch != nil {
			sub.cfg.Log.Write(logger.NodeMistaken, logger.Fields{Host: e.host, Peer: e.address, Err: err})
			return
		}
		poller.Sleep(ctx, retryDelay(failures))
	}
}

// retryDelay returns how long to wait before the next attempt to reach a lost
// node. A node that was lost for long and returns subscribes to this node, which
// starts a new stream at once, so slow retries do not delay it.
func retryDelay(failures int) time.Duration {
	if failures > fastRetries {
		return poller.Backoff(failures) * slowRetryFactor
	}
	return poller.Backoff(failures)
}

func (sub *Subscriber) replaceStream(host string, s stream) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if old, ok := sub.streams[host]; ok {
		old.cancel()
	}
	sub.streams[host] = s
}

func (sub *Subscriber) endStream(host string) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if old, ok := sub.streams[host]; ok {
		old.cancel()
		delete(sub.streams, host)
	}
}

// receiveUpdates opens a stream and posts each update until the stream ends. It reports
// whether any update was received.
func (sub *Subscriber) receiveUpdates(ctx context.Context, e subscribe, post blackboard.Post) (received bool, err error) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := sub.cfg.Open(openCtx, e.address)
	if err != nil {
		return false, err
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	current, _ := sub.current()
	request := &wirepb.SubscribeRequest{Self: encodeRecord(sub.cfg.Self), Host: e.host, WantsKnown: !current.state.Listed}
	if err := encoder.Write(s, request, encoder.MaxControlBytes); err != nil {
		return false, err
	}
	var latest blackboard.NodeUpdated
	for {
		if err := s.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
			return received, err
		}
		var m wirepb.NodeUpdate
		if err := encoder.Read(s.Reader, &m, encoder.MaxControlBytes); err != nil {
			return received, err
		}
		switch {
		case m.GetHost() == e.host:
			latest = sub.decodeUpdate(&m)
		case m.GetHost() != "" || !received:
			return received, &HostMismatchError{Want: e.host, Got: m.GetHost()}
		}
		received = true
		if known := decodeRecords(m.GetKnown()); len(known) > 0 {
			post(blackboard.NodesFound{Nodes: known, Now: sub.cfg.Now()})
		}
		if l := encoder.DecodeLoad(m.GetLoad()); l != nil {
			sub.cfg.OnLoad(e.host, latest.Target.Service, *l)
		}
		latest.Now = sub.cfg.Now()
		post(latest)
	}
}

func (sub *Subscriber) decodeUpdate(m *wirepb.NodeUpdate) blackboard.NodeUpdated {
	return blackboard.NodeUpdated{
		Host: m.GetHost(), Incarnation: m.GetIncarnation(), Draining: m.GetDraining(), Version: m.GetVersion(),
		Target: blackboard.TargetRecord{
			Service: m.GetService(), Phase: targetPhase(m.GetTarget()), Slots: int(m.GetSlots()), Revision: m.GetRevision(),
		},
		PlatformLost: m.GetPlatformLost(), PlatformEra: m.GetPlatformEra(),
	}
}

// Serve sends this node's updates to a subscriber until the stream ends.
func (sub *Subscriber) Serve(ctx context.Context, s *linker.Stream) {
	var request wirepb.SubscribeRequest
	if s.SetReadDeadline(time.Now().Add(openTimeout)) != nil {
		return
	}
	if err := encoder.Read(s.Reader, &request, encoder.MaxControlBytes); err != nil {
		return
	}
	if request.GetHost() == sub.cfg.Self.Host {
		self := decodeRecords([]*wirepb.NodeRecord{request.GetSelf()})
		sub.cfg.Post(blackboard.NodesFound{Nodes: self, SelfReported: true, Now: sub.cfg.Now()})
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	var sentHosts map[string]bool
	if request.GetWantsKnown() {
		sentHosts = map[string]bool{request.GetSelf().GetHost(): true}
	}
	sameDataCentre := request.GetSelf().GetDataCentre() == sub.cfg.Self.DataCentre
	sub.sendUpdates(ctx, s, sentHosts, sameDataCentre)
}

// sendUpdates writes updates until the stream ends. The keys of sentHosts are the hosts
// that the subscriber already knows from this node; nil means that it wants no
// node records. Only a subscriber in the same data centre also receives the
// target's load, because traffic between data centres is expensive.
func (sub *Subscriber) sendUpdates(ctx context.Context, s *linker.Stream, sentHosts map[string]bool, sameDataCentre bool) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	current, changed := sub.current()
	latest := sub.encodeUpdate(current, sentHosts)
	for update := latest; ; {
		if err := writeUpdate(s, update); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			current, changed = sub.current()
			update = sub.encodeUpdate(current, sentHosts)
			if proto.Equal(update, latest) {
				update = nil
				continue
			}
			latest = update
		case <-ticker.C:
			update = &wirepb.NodeUpdate{Load: sub.loadUpdate(sameDataCentre)}
		}
	}
}

// loadUpdate returns the target's load for a subscriber, or nil when the subscriber is
// in another data centre or the load is unknown.
func (sub *Subscriber) loadUpdate(sameDataCentre bool) *wirepb.TargetLoad {
	l, known := sub.cfg.Load()
	if !sameDataCentre || !known {
		return nil
	}
	return encoder.EncodeLoad(l, sub.cfg.Incarnation)
}

// writeUpdate sends an update; a nil update sends nothing.
func writeUpdate(s *linker.Stream, update *wirepb.NodeUpdate) error {
	if update == nil {
		return nil
	}
	if err := s.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return err
	}
	return encoder.Write(s, update, encoder.MaxControlBytes)
}

func (sub *Subscriber) encodeUpdate(current publishedState, sentHosts map[string]bool) *wirepb.NodeUpdate {
	t := &current.state.Target
	m := &wirepb.NodeUpdate{
		Host: sub.cfg.Self.Host, Incarnation: sub.cfg.Incarnation, Draining: current.state.Draining, Version: current.state.Version,
		Service: t.Service, Target: targetStates[t.Phase], Slots: uint32(t.Slots), Revision: t.Revision, PlatformLost: current.state.PlatformLost,
		PlatformEra: current.state.PlatformEra,
	}
	for _, n := range current.known {
		if sentHosts != nil && !sentHosts[n.Host] {
			sentHosts[n.Host] = true
			m.Known = append(m.Known, encodeRecord(n))
		}
	}
	return m
}
