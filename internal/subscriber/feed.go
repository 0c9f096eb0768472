package subscriber

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/wirepb"
)

const (
	// viewDelay is how long changes of views are collected before they are sent together.
	viewDelay = 50 * time.Millisecond
)

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
	sub.postDepartures(request.GetDepartures(), "", sub.cfg.Post)
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	f := feed{
		sub: sub, stream: s, subscriber: request.GetSelf().GetHost(), wantsDataCentre: request.GetWantsDataCentre(),
		sameDataCentre: request.GetSelf().GetDataCentre() == sub.cfg.Self.DataCentre,
		sentViews:      map[string]map[string]blackboard.PeerState{},
		sentDepartures: map[string]blackboard.TargetDeparture{},
	}
	if request.GetWantsKnown() {
		f.sentHosts = map[string]bool{request.GetSelf().GetHost(): true}
	}
	f.run(ctx)
}

// feed is the serving side of one stream.
type feed struct {
	sub    *Subscriber
	stream *linker.Stream
	// subscriber is the host of the subscriber.
	subscriber string
	// wantsDataCentre is true when the subscriber observes this data centre.
	wantsDataCentre bool
	// sameDataCentre is true when the subscriber is in this data centre. Only then it also
	// receives the target's load, because traffic between data centres is expensive.
	sameDataCentre bool
	// sentHosts holds the hosts that the subscriber already knows from this node; nil
	// means that it wants no node records.
	sentHosts map[string]bool
	// sentViews holds, by data centre, the nodes that the subscriber has been sent.
	sentViews map[string]map[string]blackboard.PeerState
	// sentDepartures holds the statements that the subscriber has been sent, by host.
	sentDepartures map[string]blackboard.TargetDeparture
	// sentCalls is what the subscriber was last told of calls, and ticks counts the updates.
	sentCalls *wirepb.RunCalls
	ticks     int
}

func (f *feed) interval() time.Duration {
	if f.wantsDataCentre {
		return viewInterval
	}
	return updateInterval
}

// run writes updates until the stream ends.
func (f *feed) run(ctx context.Context) {
	ticker := time.NewTicker(f.interval())
	defer ticker.Stop()
	delay := time.NewTimer(viewDelay)
	delay.Stop()
	defer delay.Stop()
	current, ownChanged, restChanged := f.sub.current(f.wantsDataCentre)
	latest := f.sub.encodeUpdate(current, f.sentHosts)
	update := withOrder(latest, current.order)
	update.Views = f.nextViews(current)
	departed, departuresChanged := f.sub.currentDepartures()
	update.Departures = f.nextDepartures(departed)
	_, read := f.nextReading()
	for {
		if err := f.write(update); err != nil {
			return
		}
		update = nil
		select {
		case <-ctx.Done():
			return
		case <-ownChanged:
			current, ownChanged, _ = f.sub.current(f.wantsDataCentre)
			if next := f.sub.encodeUpdate(current, f.sentHosts); !proto.Equal(next, latest) {
				latest, update = next, withOrder(next, current.order)
			}
			if f.wantsDataCentre {
				delay.Reset(viewDelay)
			}
		case <-restChanged:
			restChanged = nil
			delay.Reset(viewDelay)
		case <-departuresChanged:
			departed, departuresChanged = f.sub.currentDepartures()
			if departures := f.nextDepartures(departed); len(departures) > 0 {
				update = &wirepb.NodeUpdate{Departures: departures}
			}
		case <-delay.C:
			current, _, restChanged = f.sub.current(f.wantsDataCentre)
			if views := f.nextViews(current); len(views) > 0 {
				update = &wirepb.NodeUpdate{Views: views}
			}
		case <-read:
			update = &wirepb.NodeUpdate{Load: f.load(), RunCalls: f.runCalls()}
			update.ConfigReading, read = f.nextReading()
			ticker.Reset(f.interval())
		case <-ticker.C:
			update = &wirepb.NodeUpdate{Load: f.load(), RunCalls: f.runCalls()}
		}
	}
}

// withOrder returns a copy of an update with the order of the state that it holds.
func withOrder(update *wirepb.NodeUpdate, order uint64) *wirepb.NodeUpdate {
	ordered := proto.CloneOf(update)
	ordered.Order = order
	return ordered
}

// load returns the target's load for a subscriber, or nil when the subscriber is in
// another data centre or the load is unknown.
func (f *feed) load() *wirepb.TargetLoad {
	if !f.sameDataCentre {
		return nil
	}
	l, known := f.sub.cfg.Load()
	if !known {
		return nil
	}
	return encoder.EncodeLoad(l, f.sub.cfg.Incarnation)
}

// write sends an update; a nil update sends nothing.
func (f *feed) write(update *wirepb.NodeUpdate) error {
	if update == nil {
		return nil
	}
	if err := f.stream.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return err
	}
	return encoder.Write(f.stream, update, encoder.MaxControlBytes)
}

// nextViews returns what the subscriber has not been sent of the views that it receives:
// an observer that of this data centre, a node of this data centre those of others that
// this node observes.
func (f *feed) nextViews(current publishedState) []*wirepb.DataCentreView {
	var out []*wirepb.DataCentreView
	wanted := map[string]map[string]blackboard.PeerState{}
	switch {
	case f.wantsDataCentre:
		wanted[f.sub.cfg.Self.DataCentre] = f.sub.ownView(current)
	case f.sameDataCentre:
		for key, v := range current.views {
			if key.Source == f.sub.cfg.Self.Host {
				wanted[key.DataCentre] = v.Nodes
			}
		}
	}
	for dataCentre, nodes := range wanted {
		sent, known := f.sentViews[dataCentre]
		f.sentViews[dataCentre] = nodes
		if v := encodeView(dataCentre, sent, nodes, !known); v != nil {
			out = append(out, v)
		}
	}
	for dataCentre := range f.sentViews {
		if _, ok := wanted[dataCentre]; !ok {
			delete(f.sentViews, dataCentre)
			out = append(out, &wirepb.DataCentreView{DataCentre: dataCentre, Ended: true})
		}
	}
	return out
}

// ownView returns this node's view of its data centre, itself included.
func (sub *Subscriber) ownView(current publishedState) map[string]blackboard.PeerState {
	self := sub.cfg.Self
	nodes := map[string]blackboard.PeerState{}
	for host, m := range current.members {
		if m.DataCentre != self.DataCentre || m.Status != blackboard.MemberAlive {
			continue
		}
		nodes[host] = blackboard.PeerState{
			Record: blackboard.NodeRecord{
				Host: host, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region, LinkMbit: m.LinkMbit,
			},
			Incarnation: m.Incarnation, Order: m.Order, Target: m.Target,
		}
	}
	own := blackboard.PeerState{Record: self, Incarnation: sub.cfg.Incarnation, Order: current.order, Target: current.state.Target}
	if current.state.Draining {
		own.Target.Phase = blackboard.TargetDraining
	}
	nodes[self.Host] = own
	return nodes
}
