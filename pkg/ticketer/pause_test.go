package ticketer

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// longestOperation is more calls than any operation here makes.
const longestOperation = 40

// newWorld returns a world with one filed ticket for each change.
func newWorld(t *testing.T, changes ...snapshotter.Change) *world {
	t.Helper()
	w := &world{fake: storer.NewFake(), next: mishapNone}
	for _, c := range changes {
		mustFile(t, w.ticketer("filer", always), c)
	}
	return w
}

func always() bool { return true }

// approve lets an operator approve a ticket without a pause.
func (w *world) approve(t *testing.T, number uint64) {
	t.Helper()
	mustApprove(t, w.ticketer(fmt.Sprintf("approver%d", number), always), number, StateAccepted)
	w.observe(t)
}

// advance lets an operator make at most n calls, and returns how many it made.
func (w *world) advance(t *testing.T, o operator, n int) int {
	t.Helper()
	for i := range n {
		if _, alive := o.resume(); !alive {
			return i
		}
		w.observe(t)
	}
	return n
}

func (w *world) approver(number uint64) operator {
	return w.operator("first", func(tk *Ticketer) { _, _ = tk.Approve(context.Background(), number, "ion") })
}

// eachPause runs a case for each number of calls after which an approval can be interrupted.
func eachPause(t *testing.T, play func(t *testing.T, calls int) (finished bool)) {
	t.Helper()
	for calls := 1; calls < longestOperation; calls++ {
		finished := false
		t.Run(fmt.Sprintf("after %d calls", calls), func(t *testing.T) { finished = play(t, calls) })
		if finished {
			return
		}
	}
	t.Fatal("the operation never ended")
}

func TestApprovalPausedWhileOthersDecide(t *testing.T) {
	changes := []snapshotter.Change{setService("assign"), setService("evidence"), setService("roster"), setService("gates")}
	eachPause(t, func(t *testing.T, calls int) bool {
		w := newWorld(t, changes...)
		paused := w.approver(1)
		made := w.advance(t, paused, calls)
		w.approve(t, 1)
		for number := uint64(2); number <= 4; number++ {
			w.approve(t, number)
		}
		w.advance(t, paused, longestOperation)
		replay(t, w)
		assertVersion(t, w.fake, 4)
		return made < calls
	})
}

func TestApprovalDies(t *testing.T) {
	changes := []snapshotter.Change{setService("assign"), setService("evidence"), setService("roster"), setService("gates")}
	eachPause(t, func(t *testing.T, calls int) bool {
		w := newWorld(t, changes...)
		dying := w.approver(1)
		made := w.advance(t, dying, calls)
		dying.stop()
		for _, number := range []uint64{2, 3, 4, 1} {
			w.approve(t, number)
		}
		replay(t, w)
		assertVersion(t, w.fake, 4)
		return made < calls
	})
}

func TestWithdrawalMeetsApproval(t *testing.T) {
	eachPause(t, func(t *testing.T, calls int) bool {
		w := newWorld(t, setService("assign"))
		paused := w.approver(1)
		made := w.advance(t, paused, calls)
		_, err := w.ticketer("withdrawer", always).Withdraw(t.Context(), 1, "ana")
		w.advance(t, paused, longestOperation)
		settleAll(t, w)
		replay(t, w)
		if err == nil {
			assertVersion(t, w.fake, 0)
		} else {
			assertError[*StateError](t, err)
			assertVersion(t, w.fake, 1)
		}
		return made < calls
	})
}

func TestApprovalPausedWhileOthersTrim(t *testing.T) {
	trim := func(t *testing.T, w *world) {
		t.Helper()
		_, err := w.ticketer("trimmer", always).Trim(t.Context())
		assert.NilError(t, err)
		w.observe(t)
	}
	t.Run("twice upon one head", func(t *testing.T) {
		eachPause(t, func(t *testing.T, calls int) bool {
			w := newWorld(t, setService("assign"), setService("evidence"))
			w.approve(t, 2)
			paused := w.approver(1)
			made := w.advance(t, paused, calls)
			trim(t, w)
			trim(t, w)
			w.advance(t, paused, longestOperation)
			replay(t, w)
			assertVersion(t, w.fake, 2)
			return made < calls
		})
	})
	t.Run("a shard that an earlier attempt left behind", func(t *testing.T) {
		assert.Assert(t, snapshotter.ShardOf("assign") != snapshotter.ShardOf("evidence"))
		eachPause(t, func(t *testing.T, dead int) bool {
			var ended bool
			for calls := 1; calls < longestOperation && !ended; calls++ {
				w := newWorld(t, setService("assign"), setService("evidence"))
				dying := w.approver(1)
				ended = w.advance(t, dying, dead) < dead
				dying.stop()
				trim(t, w)
				w.approve(t, 2)
				paused := w.approver(1)
				made := w.advance(t, paused, calls)
				trim(t, w)
				w.advance(t, paused, longestOperation)
				replay(t, w)
				assertVersion(t, w.fake, 2)
				if made < calls {
					break
				}
			}
			return ended
		})
	})
}

func TestTrimDeletesWhatNoVersionUses(t *testing.T) {
	w := newWorld(t)
	tk := w.ticketer("one", always)
	for i := range 20 {
		number := mustFile(t, tk, setService("assign"))
		mustApprove(t, tk, number, StateAccepted)
		w.observe(t)
		if i%2 == 1 {
			_, err := tk.Trim(t.Context())
			assert.NilError(t, err)
		}
	}
	shards, err := w.fake.Client().List(t.Context(), ShardPrefix)
	assert.NilError(t, err)
	// The newest, those of the kept decisions, and those found since the last deletion.
	assert.Assert(t, len(shards) <= 1+keptDecisions+2, "%d shards", len(shards))
}
