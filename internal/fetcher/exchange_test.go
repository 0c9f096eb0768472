package fetcher

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// manyRoutes is how many routes a large configuration has.
const manyRoutes = 1000

// large makes a valid configuration in which each version changes one route.
func large(version uint64) *snapshotter.Snapshot {
	s := snapshot(version)
	s.Services["booking"] = snapshotter.Service{Name: "booking", Firm: "booking", Slots: 9, Connections: 9, BulkPercent: 100}
	for i := range manyRoutes {
		r := snapshotter.Route{
			Name: fmt.Sprintf("r-%d", i), Prefix: fmt.Sprintf("/r%d/", i), Service: "booking",
			Class: snapshotter.ClassShort, TimeoutMs: 500,
		}
		if uint64(i) < version {
			r.TimeoutMs = 600
		}
		s.Routes[r.Name] = r
	}
	return s
}

// running is the state of a node that has run the versions in order.
func running(versions ...uint64) blackboard.State {
	s := blackboard.State{}
	for _, v := range versions {
		s, _ = Reduce(s, blackboard.ConfigRead{Snapshot: large(v), Now: start})
	}
	return s
}

func TestReply(t *testing.T) {
	sized := func(s blackboard.State, request *wirepb.SnapshotRequest) int {
		var out bytes.Buffer
		assert.NilError(t, encoder.Write(&out, reply(&s.Config, request), maxSnapshotBytes))
		return out.Len()
	}
	whole := sized(running(9), &wirepb.SnapshotRequest{Whole: true})
	t.Run("a change costs what has changed, not the whole configuration", func(t *testing.T) {
		assert.Assert(t, sized(running(7, 8, 9), &wirepb.SnapshotRequest{Above: 7}) < whole/50)
	})
	t.Run("a node that runs an unknown version gets the whole", func(t *testing.T) {
		assert.Equal(t, sized(running(7, 9), &wirepb.SnapshotRequest{Above: 8}), whole)
	})
	t.Run("and so does one that asks for it", func(t *testing.T) {
		assert.Equal(t, sized(running(7, 9), &wirepb.SnapshotRequest{Above: 7, Whole: true}), whole)
	})
	t.Run("a node that runs the same or a greater version gets nothing", func(t *testing.T) {
		assert.Assert(t, sized(running(7, 9), &wirepb.SnapshotRequest{Above: 9}) < 4)
		assert.Assert(t, sized(running(7, 9), &wirepb.SnapshotRequest{Above: 11, Whole: true}) < 4)
	})
	t.Run("few versions are kept", func(t *testing.T) {
		var versions []uint64
		for v := uint64(1); v < 3*keptVersions; v++ {
			versions = append(versions, v)
		}
		assert.Equal(t, len(running(versions...).Config.Recent), keptVersions)
	})
}

// TestAsk takes versions from a node over a link.
func TestAsk(t *testing.T) {
	for name, c := range map[string]struct {
		base *snapshotter.Snapshot
		want uint64
	}{
		"nothing runs":           {nil, 9},
		"an earlier version":     {large(7), 9},
		"a version unknown here": {large(5), 9},
		// A delta does not fit, so the whole is asked for.
		"the same version with another content": {snapshot(7), 9},
		"the same version":                      {large(9), 0},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := running(7, 9)
			var group sync.WaitGroup
			there, here := linker.New(), linker.New()
			there.Handle(StreamKind, Handler(func() *blackboard.State { return &s }))
			here.Dial = func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				group.Go(func() { there.ServeConn(ctx, far) })
				return near, nil
			}
			cfg := Config{Now: time.Now, Open: func(ctx context.Context, address string) (*linker.Stream, error) {
				return here.Open(ctx, address, linker.TrafficControl, StreamKind)
			}}
			var got uint64
			cfg.ask(ctx, ask{address: "there", base: c.base}, func(m blackboard.Msg) {
				if read, ok := m.(blackboard.ConfigRead); ok {
					got = read.Snapshot.Version
				}
			})
			assert.Equal(t, got, c.want)
			here.Close()
			cancel()
			group.Wait()
		})
	}
}
