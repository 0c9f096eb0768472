package follower

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianbarrow.example/internal/blackboard"
	_ "gentianbarrow.example/internal/seeder"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// versionChain returns versions 1 to n, each made from the one before.
func versionChain(t assert.TestingT, n int) []*snapshotter.Snapshot {
	var all []*snapshotter.Snapshot
	last := snapshotter.Empty()
	for i := range n {
		next, err := snapshotter.Apply(last, snapshotter.Change{Services: []snapshotter.Service{{
			Name: "booking", Firm: "frothvik", Slots: 20 + i, Connections: 110, BulkPercent: 50,
		}}}, uint64(i+1))
		assert.NilError(t, err)
		all = append(all, next)
		last = next
	}
	return all
}

// TestUpdatesInAnyOrder checks that a node that needs no witness runs the
// greatest version that it has received, in whatever order the versions arrive.
func TestUpdatesInAnyOrder(t *testing.T) {
	versions := versionChain(t, 8)
	f := newFollower(Platform{})
	rapid.Check(t, func(rt *rapid.T) {
		s := stateWithLayout("x")
		s.Config.Recovering = false
		greatest := uint64(0)
		for _, next := range rapid.Permutation(versions).Draw(rt, "order") {
			s, _ = f.reduce(s, SnapshotLoaded{Now: time.Unix(1_800_000_000, 0), Snapshot: next})
			greatest = max(greatest, next.Version)
			assert.Equal(rt, versionOf(s.Config.Running), greatest)
		}
	})
}

// TestOldUpdates checks that an update is ignored if its version is not newer
// than the node's.
func TestOldUpdates(t *testing.T) {
	versions := versionChain(t, 3)
	f := newFollower(Platform{})
	s := stateWithLayout("x")
	s.Config.Recovering = false
	s, _ = f.reduce(s, SnapshotLoaded{Snapshot: versions[2]})
	for _, old := range versions {
		delta := &wirepb.FollowFrame{Body: &wirepb.FollowFrame_Delta{Delta: &wirepb.DeltaUpdate{Version: old.Version}}}
		_, effects := f.reduce(s, FrameReceived{Frame: delta})
		assert.Equal(t, len(effects), 0)
		_, effects = f.reduce(s, SnapshotReceived{Version: old.Version})
		assert.Equal(t, len(effects), 0)
	}
}

// TestBadUpdates checks that a delta or snapshot fails to load if one bit of
// any of its bytes is flipped.
func TestBadUpdates(t *testing.T) {
	versions := versionChain(t, 2)
	f := newFollower(Platform{})
	expectFailure := func(t *testing.T, run func(post blackboard.Post)) LoadFailed {
		t.Helper()
		var got []any
		run(func(msg blackboard.Msg) { got = append(got, msg) })
		assert.Equal(t, len(got), 1)
		failure, ok := got[0].(LoadFailed)
		assert.Assert(t, ok, "%+v", got[0])
		return failure
	}
	delta := encodeDelta(SendUpdate{Base: versions[0], Next: versions[1]})
	for i := range delta {
		damaged := append([]byte(nil), delta...)
		damaged[i] ^= 1
		failure := expectFailure(t, func(post blackboard.Post) {
			f.applyDelta(ApplyDelta{Version: 2, Data: damaged, Bases: versions[:1]}, post)
		})
		assert.Equal(t, failure.Source, SourceDelta)
	}
	whole := snapshotter.EncodeSnapshot(versions[1])
	for i := range whole {
		damaged := append([]byte(nil), whole...)
		damaged[i] ^= 1
		failure := expectFailure(t, func(post blackboard.Post) {
			f.decodeSnapshot(SnapshotReceived{Version: 2, Digest: versions[1].Digest(), Data: damaged}, post)
		})
		assert.Equal(t, failure.Source, SourceSnapshot)
	}
}

func TestAssembler(t *testing.T) {
	chunks := encodeChunks(largeSnapshot(t))
	assert.Assert(t, len(chunks) > 2)
	for _, c := range []struct {
		name  string
		order []int
	}{
		{"a missing chunk", []int{0, 2}},
		{"a repeated chunk", []int{0, 0, 0, 1, 1}},
		{"a chunk without the first one", []int{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a assembler
			var err error
			for _, i := range c.order {
				if err == nil {
					_, _, err = a.add("host-1", chunks[i])
				}
			}
			var chunkErr *ChunkError
			assert.Assert(t, errors.As(err, &chunkErr), "%v", err)
		})
	}
}

// TestRefusedVersion checks that an operator sees a version that is refused, and no version
// whose parts merely did not arrive, until a greater one is in force.
func TestRefusedVersion(t *testing.T) {
	versions := versionChain(t, 3)
	f := newFollower(Platform{})
	now := time.Unix(1_800_000_000, 0)
	s := stateWithLayout("x")
	s.Config.Recovering = false
	s, _ = f.reduce(s, SnapshotLoaded{Now: now, Snapshot: versions[0]})
	failed := func(source LoadSource, err error) blackboard.RefusedVersion {
		next, _ := f.reduce(s, LoadFailed{Now: now, Source: source, Version: 2, Err: err})
		assert.Equal(t, versionOf(next.Config.Running), uint64(1))
		return next.Config.Refused
	}
	broken := &snapshotter.RefusedError{Rule: snapshotter.RuleSharedKey, Detail: "shared"}
	assert.Equal(t, failed(SourcePlatform, broken).Version, uint64(2))
	assert.Equal(t, failed(SourceSnapshot, &snapshotter.MalformedError{Subject: "snapshot"}).Version, uint64(2))
	assert.Assert(t, !failed(SourcePlatform, context.DeadlineExceeded).IsSet())
	assert.Assert(t, !failed(SourceDelta, broken).IsSet(), "the whole snapshot is requested next")
	s, _ = f.reduce(s, LoadFailed{Now: now, Source: SourcePlatform, Version: 2, Err: broken})
	s, _ = f.reduce(s, SnapshotLoaded{Now: now, Snapshot: versions[2]})
	assert.Assert(t, !s.Config.Refused.IsSet())
}
