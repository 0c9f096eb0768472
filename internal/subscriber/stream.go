package subscriber

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

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
	request := &wirepb.SubscribeRequest{
		Self: encodeRecord(sub.cfg.Self), Host: e.host, Departures: sub.departuresFor(e.host, sub.cfg.Self.DataCentre),
	}
	s, end, err := sub.openUpdates(ctx, e.address, request, openTimeout)
	if err != nil {
		return false, err
	}
	defer end()
	// Views that an earlier stream brought are not continued by this one.
	post(blackboard.ViewInterrupted{ViewKey: blackboard.ViewKey{Source: e.host}, Now: sub.cfg.Now()})
	views := newViewDecoder()
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
		sub.postKnown(&m, post)
		sub.postDepartures(m.GetDepartures(), e.host, post)
		if l := encoder.DecodeLoad(m.GetLoad()); l != nil {
			sub.cfg.OnLoad(e.host, latest.Target.Service, *l)
		}
		if calls := m.GetRunCalls(); calls != nil {
			sub.cfg.OnRunCalls(e.host, latest.Target.Service, decodeRunCalls(calls))
		}
		latest.Now = sub.cfg.Now()
		post(latest)
		sub.postReading(m.GetConfigReading(), e.host, post)
		for _, v := range m.GetViews() {
			post(views.decode(blackboard.ViewKey{Source: e.host, DataCentre: v.GetDataCentre()}, v, latest.Now))
		}
	}
}

// openUpdates opens a stream to another node and sends the request on it. The stream is
// aborted when ctx ends; end must be called when it is no longer read.
func (sub *Subscriber) openUpdates(ctx context.Context, address string, request *wirepb.SubscribeRequest, timeout time.Duration) (s *linker.Stream, end func(), err error) {
	openCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if s, err = sub.cfg.Open(openCtx, address); err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, s.Abort)
	release := sub.askForKnown(request)
	end = func() {
		release()
		stop()
		s.Abort()
	}
	if err := encoder.Write(s, request, encoder.MaxControlBytes); err != nil {
		end()
		return nil, nil, err
	}
	return s, end, nil
}

// askForKnown sets the request to ask for the nodes that the other node knows, if this
// node needs them. The returned function must be called when the stream ends.
func (sub *Subscriber) askForKnown(request *wirepb.SubscribeRequest) (release func()) {
	current, _, _ := sub.current(false)
	if current.state.Listed {
		return func() {}
	}
	request.WantsKnown = sub.knownStreams.Add(1) <= maxKnownStreams
	return func() { sub.knownStreams.Add(-1) }
}

func (sub *Subscriber) postKnown(m *wirepb.NodeUpdate, post blackboard.Post) {
	if known := decodeRecords(m.GetKnown()); len(known) > 0 {
		post(blackboard.NodesFound{Nodes: known, Now: sub.cfg.Now()})
	}
}
