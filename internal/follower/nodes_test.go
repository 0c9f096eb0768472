package follower

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/internal/linker"
)

// TestNodesOverTCP runs the controllers wired as in a node, with real streams
// and the real clock.
func TestNodesOverTCP(t *testing.T) {
	t.Parallel()
	const nodes = 4
	fl := newFleet(t, 0, 1, 1)
	fl.publish()
	fl.publish()
	members := map[string]blackboard.Member{}
	var listeners []net.Listener
	for i := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, ln)
		m := blackboard.Member{
			Host: fmt.Sprintf("host-%d", i), Rack: fmt.Sprintf("rack-%d", i),
			Address: ln.Addr().String(), Status: blackboard.MemberAlive,
		}
		members[m.Host] = m
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	applied := make(chan uint64, nodes)
	for i := range nodes {
		runNode(ctx, &group, members[fmt.Sprintf("host-%d", i)], members, listeners[i], fl, applied)
	}
	for range nodes {
		select {
		case v := <-applied:
			assert.Equal(t, v, uint64(2))
		case <-time.After(time.Minute):
			t.Fatal("a node did not apply a version")
		}
	}
	cancel()
	group.Wait()
}

func runNode(
	ctx context.Context, group *sync.WaitGroup, m blackboard.Member, members map[string]blackboard.Member,
	ln net.Listener, fl *fleet, applied chan uint64,
) {
	l := linker.New()
	streams := NewStreams(l)
	client := fl.fake.Client()
	var once sync.Once
	observer := blackboard.Controller{Name: "observer", Reduce: func(s blackboard.State, _ blackboard.Msg) (blackboard.State, []blackboard.Effect) {
		if s.Config.Running != nil {
			once.Do(func() { applied <- s.Config.Running.Version })
		}
		return s, nil
	}}
	self := blackboard.Self{Host: m.Host, Rack: m.Rack, Address: m.Address, DataCentre: "reyk-a", Incarnation: 1}
	s := blackboard.State{Self: self, Config: NewConfig(), Lease: elector.NoLease()}
	s.Members.ByHost = members
	board := blackboard.New(s, []blackboard.Controller{
		elector.New(client, "reyk-a"), New(streams, NewPlatform(client)), observer,
	})
	streams.Post = board.Post
	l.Handle(StreamKind, streams.Serve)
	group.Go(func() { _ = l.Serve(ctx, ln) })
	group.Go(func() { _ = board.Run(ctx) })
	group.Go(func() {
		ticker := time.NewTicker(blackboard.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				l.Close()
				streams.Wait()
				return
			case now := <-ticker.C:
				board.Post(blackboard.Tick{Now: now})
			}
		}
	})
}
