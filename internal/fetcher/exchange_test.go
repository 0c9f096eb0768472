package fetcher

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// routeCount is the number of routes in a large configuration.
const routeCount = 1000

// largeSnapshot returns a valid configuration. Each version differs from the
// one before by one route.
func largeSnapshot(version uint64) *snapshotter.Snapshot {
	s := snapshot(version)
	s.Services["booking"] = snapshotter.Service{Name: "booking", Firm: "booking", Slots: 9, Connections: 9, BulkPercent: 100}
	for i := range routeCount {
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

// stateAfter returns the state of a node that has applied the versions in
// order.
func stateAfter(versions ...uint64) blackboard.State {
	s := blackboard.State{}
	for _, v := range versions {
		s, _ = Reduce(s, blackboard.ConfigRead{Snapshot: largeSnapshot(v), Now: start})
	}
	return s
}

func TestReply(t *testing.T) {
	encodedSize := func(s blackboard.State, request *wirepb.SnapshotRequest) int {
		var out bytes.Buffer
		assert.NilError(t, encoder.Write(&out, newReply(&s.Config, request), maxSnapshotBytes))
		return out.Len()
	}
	wholeSize := encodedSize(stateAfter(9), &wirepb.SnapshotRequest{Whole: true})
	t.Run("a delta is much smaller than the whole configuration", func(t *testing.T) {
		assert.Assert(t, encodedSize(stateAfter(7, 8, 9), &wirepb.SnapshotRequest{Above: 7}) < wholeSize/50)
	})
	t.Run("a node that runs an unknown version gets the whole snapshot", func(t *testing.T) {
		assert.Equal(t, encodedSize(stateAfter(7, 9), &wirepb.SnapshotRequest{Above: 8}), wholeSize)
	})
	t.Run("a node that requests the whole snapshot gets it", func(t *testing.T) {
		assert.Equal(t, encodedSize(stateAfter(7, 9), &wirepb.SnapshotRequest{Above: 7, Whole: true}), wholeSize)
	})
	t.Run("a node that runs the same or a greater version gets nothing", func(t *testing.T) {
		assert.Assert(t, encodedSize(stateAfter(7, 9), &wirepb.SnapshotRequest{Above: 9}) < 4)
		assert.Assert(t, encodedSize(stateAfter(7, 9), &wirepb.SnapshotRequest{Above: 11, Whole: true}) < 4)
	})
	t.Run("the number of recent versions is bounded", func(t *testing.T) {
		var versions []uint64
		for v := uint64(1); v < 3*maxRecentVersions; v++ {
			versions = append(versions, v)
		}
		assert.Equal(t, len(stateAfter(versions...).Config.Recent), maxRecentVersions)
	})
}

// TestAsk requests versions from a node over a linker connection.
func TestAsk(t *testing.T) {
	for name, c := range map[string]struct {
		base *snapshotter.Snapshot
		want uint64
	}{
		"no version runs":                             {nil, 9},
		"an earlier version":                          {largeSnapshot(7), 9},
		"a version that the other node does not have": {largeSnapshot(5), 9},
		// The delta does not fit the base, so the whole snapshot is requested.
		"the same version with different content": {snapshot(7), 9},
		"the same version":                        {largeSnapshot(9), 0},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := stateAfter(7, 9)
			var group sync.WaitGroup
			remote, local := linker.New(), linker.New()
			remote.Handle(StreamKind, Handler(func() *blackboard.State { return &s }))
			local.Dial = func(context.Context, string) (net.Conn, error) {
				clientConn, serverConn := net.Pipe()
				group.Go(func() { remote.ServeConn(ctx, serverConn) })
				return clientConn, nil
			}
			cfg := Config{Now: time.Now, Open: func(ctx context.Context, address string) (*linker.Stream, error) {
				return local.Open(ctx, address, linker.TrafficControl, StreamKind)
			}}
			var got uint64
			cfg.askPeer(ctx, askPeer{address: "remote", base: c.base}, func(m blackboard.Msg) {
				if read, ok := m.(blackboard.ConfigRead); ok {
					got = read.Snapshot.Version
				}
			})
			assert.Equal(t, got, c.want)
			local.Close()
			cancel()
			group.Wait()
		})
	}
}

// TestSilentNodeIsAskedOnce guards against a second request to a node that has lost power,
// which delays the version by another askTimeout.
func TestSilentNodeIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opened := 0
		var failed blackboard.Msg
		sent := time.Now()
		cfg := Config{Now: time.Now, Open: func(context.Context, string) (*linker.Stream, error) {
			opened++
			local, _ := net.Pipe()
			return &linker.Stream{Conn: local, Reader: bufio.NewReader(local)}, nil
		}}
		cfg.askPeer(t.Context(), askPeer{address: "remote", base: snapshot(7)}, func(m blackboard.Msg) { failed = m })
		assert.Equal(t, opened, 1)
		assert.DeepEqual(t, failed, blackboard.ConfigFetchFailed{Address: "remote", Now: sent.Add(askTimeout)})
	})
}
