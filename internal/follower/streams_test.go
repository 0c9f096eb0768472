package follower

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// testPeer holds the streams of one node on a real listener, and the messages
// that they post.
type testPeer struct {
	streams  *Streams
	address  string
	messages chan blackboard.Msg
}

func newTestPeer(ctx context.Context, t *testing.T, group *sync.WaitGroup) *testPeer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := linker.New()
	p := &testPeer{streams: NewStreams(l), address: ln.Addr().String(), messages: make(chan blackboard.Msg, 100)}
	p.streams.Post = func(msg blackboard.Msg) { p.messages <- msg }
	l.Handle(StreamKind, p.streams.Serve)
	group.Go(func() { _ = l.Serve(ctx, ln) })
	context.AfterFunc(ctx, l.Close)
	return p
}

func (p *testPeer) next(t *testing.T) blackboard.Msg {
	t.Helper()
	select {
	case msg := <-p.messages:
		return msg
	case <-time.After(10 * time.Second):
		t.Fatal("no message arrived")
		return nil
	}
}

func TestStreams(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	a, b := newTestPeer(ctx, t, &group), newTestPeer(ctx, t, &group)
	newWitnessAsk := func(from *testPeer, version uint64) *wirepb.FollowFrame {
		return &wirepb.FollowFrame{Host: from.address, Address: from.address, Body: &wirepb.FollowFrame_WitnessAsk{
			WitnessAsk: &wirepb.WitnessAsk{Version: version},
		}}
	}
	assertReceived := func(t *testing.T, p *testPeer, version uint64) {
		t.Helper()
		m, ok := p.next(t).(FrameReceived)
		assert.Assert(t, ok)
		assert.Equal(t, m.Frame.GetWitnessAsk().GetVersion(), version)
	}
	t.Run("a reply is sent on the stream of the request", func(t *testing.T) {
		assert.NilError(t, a.streams.Send(ctx, b.address, newWitnessAsk(a, 1)))
		assertReceived(t, b, 1)
		b.streams.Open = func(context.Context, string) (*linker.Stream, error) {
			t.Error("a second stream was opened")
			return nil, &linker.UnreachableError{Address: a.address}
		}
		assert.NilError(t, b.streams.Send(ctx, a.address, newWitnessAsk(b, 2)))
		assertReceived(t, a, 2)
	})
	t.Run("a whole snapshot arrives in chunks", func(t *testing.T) {
		s := largeSnapshot(t)
		f := &Follower{Send: a.streams.Send}
		f.sendUpdate(ctx, SendUpdate{Address: b.address, Next: s})
		whole, ok := b.next(t).(SnapshotReceived)
		assert.Assert(t, ok)
		assert.Assert(t, len(whole.Data) > 2*chunkBytes)
		assert.Equal(t, whole.Digest, s.Digest())
	})
	t.Run("a dropped peer is reached on a new stream", func(t *testing.T) {
		a.streams.Drop(b.address)
		assert.NilError(t, a.streams.Send(ctx, b.address, newWitnessAsk(a, 3)))
		assertReceived(t, b, 3)
	})
	cancel()
	group.Wait()
	a.streams.Wait()
	b.streams.Wait()
}

func largeSnapshot(t *testing.T) *snapshotter.Snapshot {
	t.Helper()
	var c snapshotter.Change
	for i := range 3600 {
		c.Services = append(c.Services, snapshotter.Service{
			Name: fmt.Sprintf("service-%d", i), Firm: "frothvik", Slots: 20, Connections: 110, BulkPercent: 50,
		})
	}
	s, err := snapshotter.Apply(snapshotter.Empty(), c, 1)
	assert.NilError(t, err)
	return s
}

// FuzzFrame reads arbitrary bytes from a stream.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{4, 0x7a, 2, 0x18, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		defer client.Close()
		defer server.Close()
		var group sync.WaitGroup
		group.Go(func() {
			_, _ = client.Write(data)
			_ = client.Close()
		})
		s := &Streams{Now: time.Now, Post: func(blackboard.Msg) {}, peers: map[string]*peer{}}
		s.Serve(t.Context(), &linker.Stream{Conn: server, Reader: bufio.NewReader(server)})
		group.Wait()
	})
}
