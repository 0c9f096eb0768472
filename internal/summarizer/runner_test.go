package summarizer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/wirepb"
)

// TestLoopbackStreams follows a publisher over loopback until its summary
// arrives, and ends the stream with an Unfollow.
func TestLoopbackStreams(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	publisher := newMesh(t, 1, 4)
	publisher.advance(time.Second)
	state := &publisher.nodes["dc-0-1"].state
	marked := make(chan uint64, 1)
	server := linker.New()
	server.Handle(StreamKind, Handler(
		func() *blackboard.State { return state },
		func(m blackboard.Msg) { marked <- m.(blackboard.SummaryEpochReported).Epoch },
	))
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	group.Go(func() error { return server.Serve(ctx, ln) })

	client := linker.New()
	c := New(Config{Open: func(ctx context.Context, address string) (*linker.Stream, error) {
		return client.Open(ctx, address, linker.TrafficControl, StreamKind)
	}})
	received := make(chan *wirepb.SummaryDelta, 1)
	ended := make(chan struct{})
	group.Go(func() error {
		c.Run(ctx, Follow{
			Key: "dc-0", Address: ln.Addr().String(), Only: "dc-0",
			Self:  blackboard.Self{DataCentre: "dc-1"},
			Marks: Marks{"dc-0": {Epoch: 3}},
		}, func(m blackboard.Msg) { received <- m.(blackboard.SummaryReceived).Delta })
		close(ended)
		return nil
	})
	assert.Equal(t, <-marked, uint64(3))
	delta := <-received
	assert.Equal(t, delta.GetDigest(), Digest(CountTargets(publisher.members["dc-0"])))
	c.Run(ctx, Unfollow{Key: "dc-0"}, nil)
	<-ended
	client.Close()
	cancel()
	assert.NilError(t, group.Wait())
}

func validDelta() *wirepb.SummaryDelta {
	return &wirepb.SummaryDelta{DataCentre: "dc-0", Epoch: 3, Sequence: 2, Services: []*wirepb.ServiceCount{
		{Service: "roster", Targets: 1, Slots: 10, Changed: 1, Hosts: []*wirepb.SummaryHost{{Host: "dc-0-1", Address: "10.0.0.1:7"}}},
	}}
}

func TestCheckDelta(t *testing.T) {
	assert.NilError(t, CheckDelta(validDelta()))
	for field, corrupt := range map[string]func(d *wirepb.SummaryDelta){
		"data-centre": func(d *wirepb.SummaryDelta) { d.DataCentre = "" },
		"epoch":       func(d *wirepb.SummaryDelta) { d.Epoch = maxEpochOrSequence + 1 },
		"sequence":    func(d *wirepb.SummaryDelta) { d.Base = 5 },
		"age":         func(d *wirepb.SummaryDelta) { d.Age = maxAgeMillis + 1 },
		"services":    func(d *wirepb.SummaryDelta) { d.Services[0].Slots = maxCount + 1 },
	} {
		t.Run(field, func(t *testing.T) {
			d := validDelta()
			corrupt(d)
			var invalid *InvalidDeltaError
			assert.Assert(t, errors.As(CheckDelta(d), &invalid))
			assert.Equal(t, invalid.Field, field)
		})
	}
}

// FuzzDelta checks that no delta adds an entry for the node's own data centre,
// and that the number of services stays bounded.
func FuzzDelta(f *testing.F) {
	valid, err := proto.Marshal(validDelta())
	assert.NilError(f, err)
	f.Add(valid)
	f.Add([]byte{10, 4, 'd', 'c', '-', '1', 24, 1})
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var d wirepb.SummaryDelta
		if proto.Unmarshal(data, &d) != nil || CheckDelta(&d) != nil {
			return
		}
		s := blackboard.State{Self: blackboard.Self{Host: "dc-1-0", DataCentre: "dc-1"}}
		for range 2 {
			s, _ = Reduce(s, blackboard.SummaryReceived{Delta: &d, Now: time.Unix(1e9, 0)})
		}
		_, known := s.Members.Remote["dc-1"]
		assert.Assert(t, !known && len(s.Members.Remote) <= 1)
		assert.Assert(t, len(s.Members.Remote[d.GetDataCentre()].Services) <= maxServices)
	})
}
