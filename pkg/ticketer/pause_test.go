package ticketer

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// maxOperationCalls is more than the calls of any operation in these tests.
const maxOperationCalls = 40

// newSimulation returns a simulation with one filed ticket for each change.
func newSimulation(t *testing.T, changes ...snapshotter.Change) *simulation {
	t.Helper()
	sim := &simulation{fake: storer.NewFake(), nextFault: faultNone}
	for _, c := range changes {
		mustFile(t, sim.newTicketer("filer", continueAlways), c)
	}
	return sim
}

func continueAlways() bool { return true }

// approve lets an operator approve a ticket without interruption.
func (sim *simulation) approve(t *testing.T, number uint64) {
	t.Helper()
	mustApprove(t, sim.newTicketer(fmt.Sprintf("approver%d", number), continueAlways), number, StateAccepted)
	sim.recordHead(t)
}

// resume lets an operator make at most n calls, and returns how many it made.
func (sim *simulation) resume(t *testing.T, o operator, n int) int {
	t.Helper()
	for i := range n {
		if _, running := o.resume(); !running {
			return i
		}
		sim.recordHead(t)
	}
	return n
}

// approver returns an operator that approves a ticket.
func (sim *simulation) approver(number uint64) operator {
	return sim.newOperator("first", func(tk *Ticketer) { _, _ = tk.Approve(context.Background(), number, "ion") })
}

// forEachPause runs a test for each number of calls after which an approval can be
// interrupted. The test returns true if the approval finished without interruption.
func forEachPause(t *testing.T, test func(t *testing.T, calls int) (finished bool)) {
	t.Helper()
	for calls := 1; calls < maxOperationCalls; calls++ {
		finished := false
		t.Run(fmt.Sprintf("after %d calls", calls), func(t *testing.T) { finished = test(t, calls) })
		if finished {
			return
		}
	}
	t.Fatal("the operation did not finish")
}

func TestApprovalPausedWhileOthersDecide(t *testing.T) {
	changes := []snapshotter.Change{setService("assign"), setService("evidence"), setService("roster"), setService("gates")}
	forEachPause(t, func(t *testing.T, calls int) bool {
		sim := newSimulation(t, changes...)
		paused := sim.approver(1)
		made := sim.resume(t, paused, calls)
		sim.approve(t, 1)
		for number := uint64(2); number <= 4; number++ {
			sim.approve(t, number)
		}
		sim.resume(t, paused, maxOperationCalls)
		assertHeadsReplay(t, sim)
		assertVersion(t, sim.fake, 4)
		return made < calls
	})
}

func TestApprovalCrashes(t *testing.T) {
	changes := []snapshotter.Change{setService("assign"), setService("evidence"), setService("roster"), setService("gates")}
	forEachPause(t, func(t *testing.T, calls int) bool {
		sim := newSimulation(t, changes...)
		crashing := sim.approver(1)
		made := sim.resume(t, crashing, calls)
		crashing.stop()
		for _, number := range []uint64{2, 3, 4, 1} {
			sim.approve(t, number)
		}
		assertHeadsReplay(t, sim)
		assertVersion(t, sim.fake, 4)
		return made < calls
	})
}

func TestWithdrawalDuringApproval(t *testing.T) {
	forEachPause(t, func(t *testing.T, calls int) bool {
		sim := newSimulation(t, setService("assign"))
		paused := sim.approver(1)
		made := sim.resume(t, paused, calls)
		_, err := sim.newTicketer("withdrawer", continueAlways).Withdraw(t.Context(), 1, "ana")
		sim.resume(t, paused, maxOperationCalls)
		settleAll(t, sim)
		assertHeadsReplay(t, sim)
		if err == nil {
			assertVersion(t, sim.fake, 0)
		} else {
			assertError[*StateError](t, err)
			assertVersion(t, sim.fake, 1)
		}
		return made < calls
	})
}

func TestApprovalPausedWhileOthersTrim(t *testing.T) {
	trim := func(t *testing.T, sim *simulation) {
		t.Helper()
		_, err := sim.newTicketer("trimmer", continueAlways).Trim(t.Context())
		assert.NilError(t, err)
		sim.recordHead(t)
	}
	t.Run("twice with the same head", func(t *testing.T) {
		forEachPause(t, func(t *testing.T, calls int) bool {
			sim := newSimulation(t, setService("assign"), setService("evidence"))
			sim.approve(t, 2)
			paused := sim.approver(1)
			made := sim.resume(t, paused, calls)
			trim(t, sim)
			trim(t, sim)
			sim.resume(t, paused, maxOperationCalls)
			assertHeadsReplay(t, sim)
			assertVersion(t, sim.fake, 2)
			return made < calls
		})
	})
	t.Run("a shard that an earlier attempt left behind", func(t *testing.T) {
		assert.Assert(t, snapshotter.ShardOf("assign") != snapshotter.ShardOf("evidence"))
		forEachPause(t, func(t *testing.T, callsBeforeCrash int) bool {
			var ended bool
			for calls := 1; calls < maxOperationCalls && !ended; calls++ {
				sim := newSimulation(t, setService("assign"), setService("evidence"))
				crashing := sim.approver(1)
				ended = sim.resume(t, crashing, callsBeforeCrash) < callsBeforeCrash
				crashing.stop()
				trim(t, sim)
				sim.approve(t, 2)
				paused := sim.approver(1)
				made := sim.resume(t, paused, calls)
				trim(t, sim)
				sim.resume(t, paused, maxOperationCalls)
				assertHeadsReplay(t, sim)
				assertVersion(t, sim.fake, 2)
				if made < calls {
					break
				}
			}
			return ended
		})
	})
}

func TestTrimDeletesUnusedShards(t *testing.T) {
	sim := newSimulation(t)
	tk := sim.newTicketer("one", continueAlways)
	for i := range 20 {
		number := mustFile(t, tk, setService("assign"))
		mustApprove(t, tk, number, StateAccepted)
		sim.recordHead(t)
		if i%2 == 1 {
			_, err := tk.Trim(t.Context())
			assert.NilError(t, err)
		}
	}
	shards, err := sim.fake.Client().List(t.Context(), ShardPrefix)
	assert.NilError(t, err)
	// These are the shard of the head, those that the recent decisions replaced, and those orphaned since the last deletion.
	assert.Assert(t, len(shards) <= 1+maxTestDecisions+2, "%d shards", len(shards))
}
