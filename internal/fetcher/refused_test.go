package fetcher

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

func refuse(s blackboard.State, version uint64, at time.Time) blackboard.State {
	s, _ = Reduce(s, blackboard.ConfigRefused{Version: version, Reason: "field kind", Now: at})
	return s
}

func TestRefusedVersion(t *testing.T) {
	assertRefused := func(t *testing.T, s blackboard.State, version uint64, since time.Time) {
		t.Helper()
		assertRunning(t, s, 3)
		assert.DeepEqual(t, s.Config.Refused, blackboard.RefusedVersion{Version: version, Reason: "field kind", SinceAt: since})
	}
	t.Run("the running version stays", func(t *testing.T) {
		assertRefused(t, refuse(stateWith(3), 7, start), 7, start)
	})
	t.Run("a version that is read again is refused since the first time", func(t *testing.T) {
		s := refuse(refuse(stateWith(3), 7, start), 7, start.Add(time.Minute))
		assertRefused(t, s, 7, start)
		assert.Equal(t, s.Config.Refusals, uint64(1))
	})
	t.Run("the latest refused version is kept", func(t *testing.T) {
		s := refuse(refuse(stateWith(3), 7, start), 8, start.Add(time.Minute))
		assertRefused(t, s, 8, start.Add(time.Minute))
		assert.Equal(t, s.Config.Refusals, uint64(2))
	})
	t.Run("the number may be unreadable too", func(t *testing.T) {
		assertRefused(t, refuse(stateWith(3), 0, start), 0, start)
	})
	t.Run("a version that is not greater than the running one is no matter", func(t *testing.T) {
		assert.Assert(t, !refuse(stateWith(3), 3, start).Config.Refused.IsSet())
	})
	t.Run("a readable version that is greater ends it", func(t *testing.T) {
		s, _ := Reduce(refuse(stateWith(3), 7, start), blackboard.ConfigRead{Snapshot: snapshot(8), Now: start})
		assertRunning(t, s, 8)
		assert.Assert(t, !s.Config.Refused.IsSet())
	})
	t.Run("one that is lower does not", func(t *testing.T) {
		s, _ := Reduce(refuse(stateWith(3), 7, start), blackboard.ConfigRead{Snapshot: snapshot(5), Now: start})
		assertRunning(t, s, 5)
		assert.Equal(t, s.Config.Refused.Version, uint64(7))
	})
}

// TestUnreadableValue reads a value from the platform of which a part cannot be read.
func TestUnreadableValue(t *testing.T) {
	var logs bytes.Buffer
	cfg := Config{
		Decode: decodeDigit, ReadVersion: func([]byte) uint64 { return 9 }, Now: func() time.Time { return start },
		Log: logger.New(&logs, logger.FormatJSON, logger.LevelInfo, "a-2", "a"),
	}
	s := stateWith(3)
	cfg.decodeObject(storer.Object{Key: "config/main", Value: []byte("9 and more")}, func(m blackboard.Msg) { s, _ = Reduce(s, m) })
	assertRunning(t, s, 3)
	assert.Equal(t, s.Config.Refused.Version, uint64(9))
	assert.Assert(t, strings.Contains(logs.String(), "GB0201"), logs.String())
}

// TestUnreadablePeerVersion fetches a version from a node of a later program, whose
// snapshots have fields that this one does not know.
func TestUnreadablePeerVersion(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	remote, local := linker.New(), linker.New()
	remote.Handle(StreamKind, func(_ context.Context, s *linker.Stream) {
		var request wirepb.SnapshotRequest
		if encoder.Read(s.Reader, &request, encoder.MaxHeaderBytes) == nil {
			// Field 99 with the number 1.
			later := append(snapshotter.EncodeSnapshot(snapshot(9)), 0x98, 0x06, 0x01)
			_ = encoder.Write(s, &wirepb.SnapshotReply{Snapshot: later}, maxSnapshotBytes)
		}
	})
	local.Dial = func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		group.Go(func() { remote.ServeConn(ctx, serverConn) })
		return clientConn, nil
	}
	s := stateWith(3)
	cfg := Config{Now: time.Now, Open: func(ctx context.Context, address string) (*linker.Stream, error) {
		return local.Open(ctx, address, linker.TrafficControl, StreamKind)
	}}
	cfg.askPeer(ctx, askPeer{address: "remote", base: s.Config.Running}, func(m blackboard.Msg) { s, _ = Reduce(s, m) })
	assertRunning(t, s, 3)
	assert.Equal(t, s.Config.Refused.Source, "remote")
	local.Close()
	cancel()
	group.Wait()
}
