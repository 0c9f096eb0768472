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

func TestFileRefusesWhatNoConfigurationTakes(t *testing.T) {
	tk := newTicketer(storer.NewFake().Client(), "one")
	t.Run("no reason", func(t *testing.T) {
		d := draft("ana", setService("assign"))
		d.Reason = " "
		_, err := tk.File(t.Context(), d)
		assert.Equal(t, assertError[*DraftError](t, err).Field, "reason")
	})
	t.Run("a limit", func(t *testing.T) {
		c := setService("assign")
		c.Services[0].Slots = 0
		_, err := tk.File(t.Context(), draft("ana", c))
		assert.Equal(t, assertError[*snapshotter.RefusedError](t, err).Rule, snapshotter.RuleLimit)
	})
}

// While the platform is silent for a time, operations wait; they never guess.
func TestOutage(t *testing.T) {
	play := func(t *testing.T, faults storer.Faults, work func(t *testing.T, fake *storer.Fake, tk *Ticketer)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			fake := storer.NewFake()
			tk := New(fake.Client())
			number := mustFile(t, tk, setService("assign"))
			assert.Equal(t, number, uint64(1))
			fake.SetFaults(faults)
			work(t, fake, tk)
		})
	}
	t.Run("a long outage is told as unreachable, with nothing changed", func(t *testing.T) {
		play(t, storer.Faults{Outage: true}, func(t *testing.T, fake *storer.Fake, tk *Ticketer) {
			before := fake.Dump()
			_, err := tk.Approve(t.Context(), 1, "ion")
			assertError[*storer.UnavailableError](t, err)
			assert.Assert(t, cmp.DeepEqual(fake.Dump(), before))
		})
	})
	t.Run("an outage that ends is waited out", func(t *testing.T) {
		play(t, storer.Faults{Outage: true}, func(t *testing.T, fake *storer.Fake, tk *Ticketer) {
			time.AfterFunc(firstPause, func() { fake.SetFaults(storer.Faults{}) })
			mustApprove(t, tk, 1, StateAccepted)
		})
	})
	t.Run("an outage from the approval on is told as undecided, and settled later", func(t *testing.T) {
		play(t, storer.Faults{}, func(t *testing.T, fake *storer.Fake, tk *Ticketer) {
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
	t.Run("every answer lost is told as unknown, never as a failure", func(t *testing.T) {
		play(t, storer.Faults{}, func(t *testing.T, fake *storer.Fake, tk *Ticketer) {
			fake.Intercept = func(op storer.Op, _ string) storer.Fault {
				if op != storer.OpPut {
					return storer.FaultRefused
				}
				return storer.FaultAnswerLost
			}
			err := tk.put(t.Context(), write{key: "x", value: []byte("1"), mine: func([]byte) bool { return true }})
			assertError[*storer.UnknownOutcomeError](t, err)
		})
	})
}

func TestShow(t *testing.T) {
	fake := storer.NewFake()
	tk := newTicketer(fake.Client(), "one")
	mustApprove(t, tk, mustFile(t, tk, setService("assign")), StateAccepted)
	writeStatus := func(dataCentre string, epoch uint64, lapses time.Time, nodes int) {
		err := WriteStatus(t.Context(), fake.Client(), DataCentreStatus{
			DataCentre: dataCentre, Epoch: epoch, CountedAt: noon, ExpiresAt: lapses, Nodes: 5,
			Versions: []VersionCount{{Version: 3, Nodes: 1}, {Version: 1, Nodes: nodes - 1}, {Version: 0, Nodes: 5 - nodes}},
		})
		assert.NilError(t, err)
	}
	writeStatus("buc-a", 7, noon.Add(time.Second), 4)
	writeStatus("buc-a", 6, noon.Add(time.Second), 2)
	writeStatus("buc-b", 1, noon, 3)
	t.Run("counts of each data centre, those of a lapsed status as unknown", func(t *testing.T) {
		standing, err := tk.Show(t.Context(), 1)
		assert.NilError(t, err)
		assert.DeepEqual(t, standing.DataCentres, []DataCentreStanding{
			{DataCentre: "buc-a", InForce: 4, Nodes: 5, Counted: noon, Known: true},
			{DataCentre: "buc-b", InForce: 3, Nodes: 5, Counted: noon},
		})
	})
	t.Run("a decision counts before the ticket's record has it", func(t *testing.T) {
		s, err := tk.load(t.Context(), 1)
		assert.NilError(t, err)
		s.Steps = s.Steps[:2]
		overwrite(t, fake, TicketKey(1), mustEncode(t, s.Ticket))
		standing, err := tk.Show(t.Context(), 1)
		assert.NilError(t, err)
		assert.Equal(t, standing.State, StateAccepted)
	})
	t.Run("no such ticket", func(t *testing.T) {
		_, err := tk.Show(t.Context(), 9)
		assertError[*UnknownTicketError](t, err)
	})
}
