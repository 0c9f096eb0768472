package follower

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// runFleet runs a subtest with 12 nodes on 4 racks that all run version 2.
func runFleet(t *testing.T, name string, test func(t *testing.T, fl *fleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 12, 4, 7)
			fl.publish()
			fl.publish()
			fl.startAll()
			time.Sleep(maxApplyDelay)
			fl.assertRunning(2)
			test(t, fl)
			fl.assertNoViolations()
		})
	})
}

// relays returns the hosts that hold a lease, in the order of their slots.
func (fl *fleet) relays() []string {
	synctest.Wait()
	var hosts []string
	for host, n := range fl.nodes {
		if n.up && n.board.Load().Read().Lease.Slot >= 0 {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(a, b string) int {
		return fl.nodes[a].board.Load().Read().Lease.Slot - fl.nodes[b].board.Load().Read().Lease.Slot
	})
	return hosts
}

// leaf returns a host with the greatest number of ancestors.
func (fl *fleet) leaf() string {
	synctest.Wait()
	return slices.MaxFunc(slices.Collect(maps.Keys(fl.nodes)), func(a, b string) int {
		return len(fl.nodes[a].board.Load().Read().Config.Tree.Path) - len(fl.nodes[b].board.Load().Read().Config.Tree.Path)
	})
}

func (fl *fleet) pause(host string, paused bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.nodes[host].paused = paused
}

// assertConverges checks that every node runs the newest version within
// maxApplyDelay.
func (fl *fleet) assertConverges() {
	fl.t.Helper()
	time.Sleep(maxApplyDelay)
	fl.assertRunning(fl.head.Version)
}

func isUpdate(frame *wirepb.FollowFrame) bool {
	return frame.GetDelta() != nil || frame.GetChunk() != nil
}

func TestFailuresOfLinks(t *testing.T) {
	t.Parallel()
	runFleet(t, "a silent connection to the parent", func(t *testing.T, fl *fleet) {
		host := fl.leaf()
		parent := fl.nodes[host].board.Load().Read().Config.Parent
		assert.Assert(t, parent != "")
		fl.loseFrames(func(from, to string, _ *wirepb.FollowFrame) bool { return from == parent && to == host })
		fl.publish()
		fl.assertConverges()
		assert.Assert(t, fl.nodes[host].board.Load().Read().Config.Parent != parent)
	})
	runFleet(t, "a bad delta", func(_ *testing.T, fl *fleet) {
		fl.loseFrames(func(_, _ string, frame *wirepb.FollowFrame) bool {
			if d := frame.GetDelta(); d != nil {
				d.Delta = slices.Clone(d.GetDelta())
				d.Delta[len(d.Delta)-1] ^= 1
			}
			return false
		})
		fl.publish()
		fl.assertConverges()
	})
	runFleet(t, "updates that arrive out of order", func(t *testing.T, fl *fleet) {
		leaf := fl.leaf()
		var updates []*wirepb.FollowFrame
		fl.loseFrames(func(_, to string, frame *wirepb.FollowFrame) bool {
			if frame != nil && isUpdate(frame) && to == leaf {
				updates = append(updates, frame)
			}
			return false
		})
		old := fl.head
		for range 4 {
			fl.publish()
			time.Sleep(3 * time.Second)
		}
		fl.loseFrames(nil)
		assert.Assert(t, len(updates) >= 4)
		post := fl.nodes[leaf].board.Load().Post
		for _, frame := range slices.Backward(updates) {
			_ = deliver(&assembler{}, frame, time.Now(), post)
			time.Sleep(3 * time.Second)
		}
		post(SnapshotReceived{Version: old.Version, Digest: old.Digest(), Data: snapshotter.EncodeSnapshot(old)})
		fl.assertConverges()
	})
	runFleet(t, "a data centre that was cut off catches up in one step", func(t *testing.T, fl *fleet) {
		fl.cutPlatform(true)
		time.Sleep(time.Minute)
		for range 20 {
			fl.publish()
		}
		time.Sleep(time.Minute)
		fl.assertRunning(2)
		fl.cutPlatform(false)
		fl.assertConverges()
		for _, n := range fl.nodes {
			assert.Equal(t, len(n.appliedAt), 2, "versions applied: %v", n.appliedAt)
		}
	})
}

func TestFailuresOfThePlatform(t *testing.T) {
	t.Parallel()
	runFleet(t, "outages while versions are accepted", func(_ *testing.T, fl *fleet) {
		for range 5 {
			fl.publish()
			fl.fake.SetFaults(storer.Faults{Outage: true})
			time.Sleep(time.Minute)
			fl.fake.SetFaults(storer.Faults{})
			fl.assertConverges()
		}
	})
	runFleet(t, "slow answers", func(_ *testing.T, fl *fleet) {
		fl.fake.SetFaults(storer.Faults{DelayMs: 1000})
		fl.publish()
		fl.assertConverges()
	})
	runFleet(t, "a shard that cannot be read yet", func(_ *testing.T, fl *fleet) {
		until := time.Now().Add(5 * time.Second)
		fl.fake.Intercept = func(op storer.Op, key string) storer.Fault {
			if op == storer.OpGet && key[:6] == "config" && time.Now().Before(until) {
				return storer.FaultRefused
			}
			return storer.FaultNone
		}
		fl.publish()
		fl.assertConverges()
	})
}

func TestFailuresOfRelays(t *testing.T) {
	t.Parallel()
	runFleet(t, "half the relays die", func(t *testing.T, fl *fleet) {
		relays := fl.relays()
		assert.Equal(t, len(relays), 3)
		fl.kill(relays[0])
		fl.kill(relays[1])
		fl.publish()
		fl.assertConverges()
		time.Sleep(maxApplyDelay)
		assert.Equal(t, len(fl.relays()), 3)
	})
	runFleet(t, "every relay dies", func(_ *testing.T, fl *fleet) {
		for _, host := range fl.relays() {
			fl.kill(host)
		}
		fl.publish()
		time.Sleep(maxApplyDelay)
		fl.assertConverges()
	})
	runFleet(t, "the relays are cut off from the other nodes but not from the platform", func(t *testing.T, fl *fleet) {
		relays := fl.relays()
		fl.loseFrames(func(from, to string, _ *wirepb.FollowFrame) bool {
			return slices.Contains(relays, from) != slices.Contains(relays, to)
		})
		time.Sleep(maxApplyDelay)
		fl.publish()
		time.Sleep(maxApplyDelay)
		for host := range fl.nodes {
			assert.Assert(t, slices.Contains(relays, host) || fl.running(host) == 3, host)
		}
		// The three relays may be on too few racks to be witnesses of a version for
		// each other.
		fl.loseFrames(nil)
		fl.assertConverges()
	})
	runFleet(t, "the children of a stopping relay join other parents", func(t *testing.T, fl *fleet) {
		relay := fl.relays()[0]
		fl.nodes[relay].board.Load().Post(blackboard.StopRequested{Now: time.Now()})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(fl.nodes[relay].board.Load().Read().Config.Tree.Children), 0)
		fl.kill(relay)
		fl.publish()
		fl.assertConverges()
	})
	runFleet(t, "a paused lease holder resumes", func(t *testing.T, fl *fleet) {
		relay := fl.relays()[0]
		fl.pause(relay, true)
		time.Sleep(time.Minute)
		for range 3 {
			fl.publish()
		}
		time.Sleep(maxApplyDelay)
		fl.pause(relay, false)
		fl.publish()
		fl.assertConverges()
		assert.Equal(t, len(fl.relays()), 3)
	})
}

func TestNoOlderVersionAfterRestart(t *testing.T) {
	t.Parallel()
	runFleet(t, "a node killed while a version is staged", func(t *testing.T, fl *fleet) {
		fl.loseFrames(func(_, to string, frame *wirepb.FollowFrame) bool {
			return to == "host-1" && frame.GetWitnessAck() != nil
		})
		fl.publish()
		time.Sleep(maxApplyDelay)
		assert.Equal(t, fl.running("host-1"), uint64(2))
		assert.Equal(t, versionOf(fl.nodes["host-1"].board.Load().Read().Config.Stage.Next), uint64(3))
		fl.kill("host-1")
		fl.cutPlatform(true)
		fl.loseFrames(nil)
		fl.start("host-1")
		fl.assertConverges()
	})
	runFleet(t, "a restarted node recovers from a fresh read of the head", func(_ *testing.T, fl *fleet) {
		fl.kill("host-3")
		fl.publish()
		fl.start("host-3")
		fl.assertConverges()
	})
	runFleet(t, "a restarted node recovers from floors during a platform outage", func(_ *testing.T, fl *fleet) {
		fl.cutPlatform(true)
		time.Sleep(time.Minute)
		fl.kill("host-3")
		time.Sleep(5 * time.Second)
		fl.start("host-3")
		fl.assertConverges()
	})
	runFleet(t, "the only node with a version restarts during a platform outage", onlyHolderRestarts)
	runFleet(t, "a node cannot recover from floors while nodes on two racks are silent", func(t *testing.T, fl *fleet) {
		fl.cutPlatform(true)
		time.Sleep(time.Minute)
		fl.kill("host-1")
		fl.kill("host-2")
		fl.kill("host-3")
		time.Sleep(5 * time.Second)
		fl.start("host-3")
		time.Sleep(time.Minute)
		assert.Equal(t, fl.running("host-3"), uint64(0))
		fl.start("host-2")
		time.Sleep(time.Minute)
		assert.Equal(t, fl.running("host-3"), uint64(0), "host-1 is dead and host-2 is recovering")
		fl.cutPlatform(false)
		fl.assertConverges()
	})
	runFleet(t, "an isolated node does not apply a version without witnesses", func(t *testing.T, fl *fleet) {
		fl.loseFrames(func(from, to string, _ *wirepb.FollowFrame) bool { return from == "host-5" || to == "host-5" })
		fl.cutPlatformBut("host-5")
		time.Sleep(30 * time.Second)
		fl.publish()
		time.Sleep(time.Minute)
		assert.Equal(t, fl.running("host-5"), uint64(2))
		fl.kill("host-5")
		fl.cutPlatform(true)
		fl.loseFrames(nil)
		fl.start("host-5")
		time.Sleep(time.Minute)
		assert.Equal(t, fl.running("host-5"), uint64(2))
		fl.cutPlatform(false)
		fl.assertConverges()
	})
	runFleet(t, "every node restarts during a platform outage", func(t *testing.T, fl *fleet) {
		fl.cutPlatform(true)
		for host := range fl.nodes {
			fl.kill(host)
		}
		fl.startAll()
		time.Sleep(2 * time.Minute)
		for host := range fl.nodes {
			assert.Equal(t, fl.running(host), uint64(0), host)
			assert.Assert(t, fl.nodes[host].board.Load().Read().Config.Recovering, host)
		}
		fl.cutPlatform(false)
		fl.assertConverges()
	})
}

// onlyHolderRestarts checks that a node does not go back to an older version.
// One relay applies version 3 while no other node receives it. After the relay
// restarts, no node can send it version 3, and it must not run version 2, which
// all others run.
func onlyHolderRestarts(t *testing.T, fl *fleet) {
	fl.loseFrames(func(_, _ string, frame *wirepb.FollowFrame) bool { return isUpdate(frame) })
	relay := fl.relays()[0]
	fl.cutPlatformBut(relay)
	fl.publish()
	time.Sleep(3 * time.Second)
	fl.cutPlatform(true)
	assert.Equal(t, fl.running(relay), uint64(3))
	fl.kill(relay)
	fl.loseFrames(nil)
	fl.start(relay)
	time.Sleep(time.Minute)
	assert.Equal(t, fl.running(relay), uint64(0))
	fl.cutPlatform(false)
	fl.assertConverges()
}
