package ticketer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

func TestFileRejectsInvalidDraft(t *testing.T) {
	tk := newTicketer(storer.NewFake().Client(), "one")
	t.Run("no reason", func(t *testing.T) {
		d := draft("ana", setService("assign"))
		d.Reason = " "
		_, err := tk.File(t.Context(), d)
		assert.Equal(t, assertError[*DraftError](t, err).Field, "reason")
	})
	t.Run("a limit out of range", func(t *testing.T) {
		c := setService("assign")
		c.Services[0].Slots = 0
		_, err := tk.File(t.Context(), draft("ana", c))
		assert.Equal(t, assertError[*snapshotter.RefusedError](t, err).Rule, snapshotter.RuleLimit)
	})
}

// TestOutage checks that operations retry while the platform does not answer, and
// never report a write as failed that may have taken effect.
func TestOutage(t *testing.T) {
	runWithFaults := func(t *testing.T, faults storer.Faults, test func(t *testing.T, fake *storer.Fake, tk *Ticketer)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			fake := storer.NewFake()
			tk := New(fake.Client())
			number := mustFile(t, tk, setService("assign"))
			assert.Equal(t, number, uint64(1))
			fake.SetFaults(faults)
			test(t, fake, tk)
		})
	}
	t.Run("a long outage is reported as unavailable, with nothing changed", func(t *testing.T) {
		runWithFaults(t, storer.Faults{Outage: true}, func(t *testing.T, fake *storer.Fake, tk *Ticketer) {
			before := fake.Dump()
			_, err := tk.Approve(t.Context(), 1, "ion")
			assertError[*storer.UnavailableError](t, err)
			assert.Assert(t, cmp.DeepEqual(fake.Dump(), before))
		})
	})
	t.Run("a short outage is retried", func(t *testing.T) {
		runWithFaults(t, storer.Faults{Outage: true}, func(t *testing.T, fake *storer.Fake, tk *Ticketer) {
			time.AfterFunc(minBackoff, func() { fake.SetFaults(storer.Faults{}) })
			mustApprove(t, tk, 1, StateAccepted)
		})
	})
	t.Run("an outage after the approval is reported as undecided, and settled later", func(t *testing.T) {
		runWithFaults(t, storer.Faults{}, func(t *testing.T, fake *storer.Fake, tk *Ticketer) {
			fake.Intercept = func(op storer.Op, key string) storer.Fault {
				if op == storer.OpPut && key != TicketKey(1) {
					return storer.FaultRefused
				}
				return storer.FaultNone
			}
			_, err := tk.Approve(t.Context(), 1, "ion")
			assertError[*UndecidedError](t, err)
			fake.Intercept = nil
			ticket, err := tk.Settle(t.Context(), 1)
			assert.NilError(t, err)
			assert.Equal(t, ticket.State(), StateAccepted)
		})
	})
	t.Run("lost answers are reported as an unknown outcome, not as a failure", func(t *testing.T) {
		runWithFaults(t, storer.Faults{}, func(t *testing.T, fake *storer.Fake, tk *Ticketer) {
			fake.Intercept = func(op storer.Op, _ string) storer.Fault {
				if op != storer.OpPut {
					return storer.FaultRefused
				}
				return storer.FaultAnswerLost
			}
			err := tk.put(t.Context(), conditionalWrite{key: "x", value: []byte("1"), isOwn: func([]byte) bool { return true }})
			assertError[*storer.UnknownOutcomeError](t, err)
		})
	})
}

func TestShow(t *testing.T) {
	fake := storer.NewFake()
	tk := newTicketer(fake.Client(), "one")
	mustApprove(t, tk, mustFile(t, tk, setService("assign")), StateAccepted)
	writeStatus := func(dataCentre string, epoch uint64, expiresAt time.Time, nodes int) {
		err := WriteStatus(t.Context(), fake.Client(), DataCentreStatus{
			DataCentre: dataCentre, Epoch: epoch, CountedAt: noon, ExpiresAt: expiresAt, Nodes: 5,
			Versions: []VersionCount{{Version: 3, Nodes: 1}, {Version: 1, Nodes: nodes - 1}, {Version: 0, Nodes: 5 - nodes}},
		})
		assert.NilError(t, err)
	}
	writeStatus("buc-a", 7, noon.Add(time.Second), 4)
	writeStatus("buc-a", 6, noon.Add(time.Second), 2)
	writeStatus("buc-b", 1, noon, 3)
	t.Run("each data centre has its counts, those of an expired status are not current", func(t *testing.T) {
		status, err := tk.Show(t.Context(), 1)
		assert.NilError(t, err)
		assert.DeepEqual(t, status.DataCentres, []Rollout{
			{DataCentre: "buc-a", InForce: 4, Nodes: 5, CountedAt: noon, Current: true},
			{DataCentre: "buc-b", InForce: 3, Nodes: 5, CountedAt: noon},
		})
	})
	t.Run("a decision counts before the ticket records it", func(t *testing.T) {
		s, err := tk.loadTicket(t.Context(), 1)
		assert.NilError(t, err)
		s.Steps = s.Steps[:2]
		overwrite(t, fake, TicketKey(1), mustEncode(t, s.Ticket))
		status, err := tk.Show(t.Context(), 1)
		assert.NilError(t, err)
		assert.Equal(t, status.State, StateAccepted)
	})
	t.Run("no such ticket", func(t *testing.T) {
		_, err := tk.Show(t.Context(), 9)
		assertError[*UnknownTicketError](t, err)
	})
}
