package ticketer

import (
	"context"
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianbarrow.example/internal/seeder"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// crashedError is returned by the calls of a crashed operator.
type crashedError struct{}

func (*crashedError) Error() string { return "crashed" }

// injectedFault is the fault that a schedule injects into one call.
type injectedFault string

const (
	faultNone       injectedFault = "none"
	faultRefused    injectedFault = "refused"
	faultAnswerLost injectedFault = "answer-lost"
	faultDelayed    injectedFault = "delayed"
	faultCrash      injectedFault = "crash"
	// faultOutage refuses this call and all calls of the following turns, outageTurns in total.
	faultOutage injectedFault = "outage"
)

// outageTurns is the length of an outage. It is more than the attempts of one call.
const outageTurns = 3 * maxCallAttempts

// maxTestDecisions replaces MaxRecentDecisions. It is small, so that heads soon drop decisions.
const maxTestDecisions = 2

// simulation runs operators one store call at a time, in the order of a schedule.
type simulation struct {
	fake *storer.Fake
	// nextFault is the fault of the current call.
	nextFault injectedFault
	// delayedWrites holds writes that were sent and have not arrived at the platform.
	delayedWrites []func()
	// heads lists every head that was ever stored, oldest first, and headRevision the revision of the last one.
	heads        []Head
	headRevision uint64
	// outageTurnsLeft is the number of turns for which the platform stays down.
	outageTurnsLeft int
	// ticketerCount is the number of ticketers created.
	ticketerCount int
}

// operator is a coroutine that yields before each of its store calls, except reads of shards.
type operator struct {
	resume func() (struct{}, bool)
	stop   func()
}

func (sim *simulation) newOperator(name string, script func(*Ticketer)) operator {
	resume, stop := iter.Pull(func(yield func(struct{}) bool) {
		crashed := false
		script(sim.newTicketer(name, func() bool {
			crashed = crashed || !yield(struct{}{})
			return !crashed
		}))
	})
	return operator{resume, stop}
}

// newTicketer returns a ticketer whose calls wait for their turn, except reads of
// shards. The calls fail as a crash does if waitForTurn returns false.
func (sim *simulation) newTicketer(name string, waitForTurn func() bool) *Ticketer {
	fakeClient := sim.fake.Client()
	client := fakeClient
	client.Get = func(ctx context.Context, key string) (storer.Object, error) {
		if !strings.HasPrefix(key, ShardPrefix) && !waitForTurn() {
			return storer.Object{}, &crashedError{}
		}
		if sim.nextFault == faultRefused {
			return storer.Object{}, &storer.UnavailableError{Key: key, Cause: &storer.OutageError{}}
		}
		return fakeClient.Get(ctx, key)
	}
	client.List = func(ctx context.Context, prefix string) ([]storer.Object, error) {
		if !waitForTurn() {
			return nil, &crashedError{}
		}
		return fakeClient.List(ctx, prefix)
	}
	client.Put = func(ctx context.Context, key string, value []byte, revision uint64) (storer.Object, error) {
		if !waitForTurn() {
			return storer.Object{}, &crashedError{}
		}
		var obj storer.Object
		err := sim.write(key, func() (err error) {
			obj, err = fakeClient.Put(ctx, key, value, revision)
			return err
		})
		return obj, err
	}
	client.Delete = func(ctx context.Context, key string, revision uint64) error {
		if !waitForTurn() {
			return &crashedError{}
		}
		return sim.write(key, func() error { return fakeClient.Delete(ctx, key, revision) })
	}
	sim.ticketerCount++
	t := newTicketer(client, fmt.Sprintf("%s-%d", name, sim.ticketerCount))
	t.maxRecentDecisions = maxTestDecisions
	t.runAll = func(tasks []func() error) error {
		for _, task := range tasks {
			if err := task(); err != nil {
				return err
			}
		}
		return nil
	}
	return t
}

// write performs a write with the fault of the schedule.
func (sim *simulation) write(key string, write func() error) error {
	unknown := &storer.UnknownOutcomeError{Key: key, Cause: &storer.AnswerLostError{}}
	switch sim.nextFault {
	case faultRefused:
		return &storer.UnavailableError{Key: key, Cause: &storer.OutageError{}}
	case faultDelayed:
		sim.delayedWrites = append(sim.delayedWrites, func() { _ = write() })
		return unknown
	case faultAnswerLost:
		_ = write()
		return unknown
	default:
		return write()
	}
}

// recordHead records a new head, and checks that the shards exist of every head
// that a slow reader may still use.
func (sim *simulation) recordHead(t assert.TestingT) {
	h, revision, err := LoadHead(context.Background(), sim.fake.Client())
	assert.NilError(t, err)
	if revision != sim.headRevision {
		assert.Equal(t, revision, sim.headRevision+1)
		sim.heads = append(sim.heads, h)
		sim.headRevision = revision
	}
	for _, recent := range sim.heads[max(0, len(sim.heads)-maxTestDecisions-1):] {
		_, err = LoadSnapshot(context.Background(), sim.fake.Client(), recent, nil)
		assert.NilError(t, err)
	}
}

// run draws and executes a schedule until every operator has finished or crashed.
func (sim *simulation) run(t *rapid.T, operators []operator) {
	faults := rapid.SampledFrom(append(
		slices.Repeat([]injectedFault{faultNone}, 40),
		faultRefused, faultRefused, faultAnswerLost, faultAnswerLost, faultDelayed, faultDelayed, faultCrash, faultOutage,
	))
	for len(operators) > 0 {
		i := rapid.IntRange(0, len(operators)-1).Draw(t, "operator")
		sim.nextFault = faults.Draw(t, "fault")
		if sim.nextFault == faultOutage {
			sim.outageTurnsLeft = outageTurns
		}
		if sim.outageTurnsLeft > 0 {
			sim.outageTurnsLeft--
			sim.nextFault = faultRefused
		}
		if sim.nextFault == faultCrash {
			operators[i].stop()
			operators = slices.Delete(operators, i, i+1)
			continue
		}
		if _, running := operators[i].resume(); !running {
			operators = slices.Delete(operators, i, i+1)
		}
		sim.recordHead(t)
		if len(sim.delayedWrites) > 0 && rapid.Bool().Draw(t, "arrives") {
			sim.delayedWrites[0]()
			sim.delayedWrites = sim.delayedWrites[1:]
			sim.recordHead(t)
		}
	}
}

// countTickets returns the number of tickets, without a store call.
func (sim *simulation) countTickets() uint64 {
	n := uint64(0)
	for _, obj := range sim.fake.Dump() {
		if strings.HasPrefix(obj.Key, TicketPrefix) {
			n++
		}
	}
	return n
}

// drawScript draws the operations of one operator.
func (sim *simulation) drawScript(t *rapid.T) func(*Ticketer) {
	type operation struct {
		kind string
		// back selects a ticket, counted back from the latest one at the time.
		back   uint64
		change snapshotter.Change
		by     string
	}
	operations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
		return operation{
			kind:   rapid.SampledFrom([]string{"file", "file", "file", "approve", "approve", "approve", "approve", "approve", "withdraw", "settle", "trim", "trim"}).Draw(t, "kind"),
			back:   rapid.Uint64Range(0, 3).Draw(t, "back"),
			change: drawChange(t),
			by:     rapid.SampledFrom([]string{"ana", "ion", "vlad"}).Draw(t, "by"),
		}
	}), 1, 20).Draw(t, "operations")
	return func(tk *Ticketer) {
		for _, op := range operations {
			number := sim.countTickets() - min(op.back, sim.countTickets())
			switch op.kind {
			case "file":
				_, _ = tk.File(context.Background(), draft(op.by, op.change))
			case "approve":
				_, _ = tk.Approve(context.Background(), number, op.by)
			case "withdraw":
				_, _ = tk.Withdraw(context.Background(), number, op.by)
			case "settle":
				_, _ = tk.Settle(context.Background(), number)
			default:
				_, _ = tk.Trim(context.Background())
			}
		}
	}
}

func drawChange(t *rapid.T) snapshotter.Change {
	name := rapid.SampledFrom([]string{"assign", "evidence", "roster"}).Draw(t, "name")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		return snapshotter.Change{Routes: []snapshotter.Route{route(name, name)}}
	case 1:
		return snapshotter.Change{RemoveServices: []string{name}}
	default:
		return setService(name)
	}
}

// TestInterleavings runs concurrent operators under random schedules with lost
// answers, delayed writes, crashes and outages. It guards against lost, repeated
// or inconsistent decisions.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{fake: storer.NewFake()}
		var operators []operator
		for i := range 3 {
			operators = append(operators, sim.newOperator(fmt.Sprintf("op%d", i), sim.drawScript(t)))
		}
		sim.run(t, operators)
		for _, deliver := range sim.delayedWrites {
			deliver()
			sim.recordHead(t)
		}
		sim.nextFault = faultNone
		settleAll(t, sim)
		assertHeadsReplay(t, sim)
	})
}

// settleAll settles every approved ticket, as the next operator would.
func settleAll(t assert.TestingT, sim *simulation) {
	tk := sim.newTicketer("last", func() bool { return true })
	list, err := tk.List(context.Background(), 100)
	assert.NilError(t, err)
	for _, ticket := range list {
		if ticket.State() != StateApproved {
			continue
		}
		decided, err := tk.Settle(context.Background(), ticket.Number)
		assert.NilError(t, err)
		assert.Assert(t, decided.State() == StateAccepted || decided.State() == StateRefused)
		sim.recordHead(t)
	}
}

// assertHeadsReplay checks that each head results from applying one ticket, decided once, to the head before.
func assertHeadsReplay(t assert.TestingT, sim *simulation) {
	tk := sim.newTicketer("reader", func() bool { return true })
	expected := snapshotter.Empty()
	decided := map[uint64]Decision{}
	for _, h := range sim.heads {
		d := h.Recent[len(h.Recent)-1]
		_, twice := decided[d.Ticket]
		assert.Assert(t, !twice, "ticket %d was decided twice", d.Ticket)
		decided[d.Ticket] = d
		s, err := tk.loadTicket(context.Background(), d.Ticket)
		assert.NilError(t, err)
		next, err := snapshotter.Apply(expected, s.Change, d.Ticket)
		assert.Equal(t, err == nil, d.Outcome == OutcomeAccepted, "ticket %d: %v", d.Ticket, err)
		if err == nil {
			assert.Equal(t, d.Version, expected.Version+1)
			expected = next
		}
		assert.Equal(t, h.Digest, expected.Digest())
	}
	assertRecords(t, tk, decided)
}

// assertRecords checks that each ticket's record agrees with its decision.
func assertRecords(t assert.TestingT, tk *Ticketer, decided map[uint64]Decision) {
	list, err := tk.List(context.Background(), 100)
	assert.NilError(t, err)
	filings := map[string]uint64{}
	for _, ticket := range list {
		filing := ticket.Steps[0].OperationID
		assert.Equal(t, filings[filing], uint64(0), "ticket %d was filed twice", ticket.Number)
		filings[filing] = ticket.Number
		d, ok := decided[ticket.Number]
		state := ticket.State()
		assert.Equal(t, ok, state == StateAccepted || state == StateRefused, "ticket %d is %s", ticket.Number, state)
		if !ok {
			continue
		}
		assert.Equal(t, string(state), string(d.Outcome))
		approval, approved := ticket.Step(StateApproved)
		_, withdrawn := ticket.Step(StateWithdrawn)
		assert.Assert(t, approved && !withdrawn && !samePerson(approval.By, ticket.Author))
	}
}
