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

// crashedError is what a dead operator's calls return.
type crashedError struct{}

func (*crashedError) Error() string { return "crashed" }

// mishap is what a schedule does with one call.
type mishap string

const (
	mishapNone    mishap = "none"
	mishapRefused mishap = "refused"
	mishapLost    mishap = "answer-lost"
	mishapLate    mishap = "effect-late"
	mishapCrash   mishap = "crash"
	// mishapOutage refuses this call and those of the next outageCalls turns.
	mishapOutage mishap = "outage"
)

// outageCalls is more than the attempts at one call.
const outageCalls = 3 * callAttempts

// keptDecisions is small, so that heads drop decisions soon.
const keptDecisions = 2

// world runs operators one store call at a time, in the order of a schedule.
type world struct {
	fake *storer.Fake
	// next is what happens to the call under way.
	next mishap
	// late holds writes that were sent and have not arrived.
	late []func()
	// heads holds every head that was ever stored.
	heads    []Head
	revision uint64
	// outage is how many turns the platform stays down.
	outage int
	// programs counts the ticketers.
	programs int
}

// operator is a coroutine that stops before each of its store calls.
type operator struct {
	resume func() (struct{}, bool)
	stop   func()
}

func (w *world) operator(name string, script func(*Ticketer)) operator {
	resume, stop := iter.Pull(func(yield func(struct{}) bool) {
		dead := false
		script(w.ticketer(name, func() bool {
			dead = dead || !yield(struct{}{})
			return !dead
		}))
	})
	return operator{resume, stop}
}

// ticketer makes calls that wait for their turn. Shards are read at once.
func (w *world) ticketer(name string, turn func() bool) *Ticketer {
	real := w.fake.Client()
	client := real
	client.Get = func(ctx context.Context, key string) (storer.Object, error) {
		if !strings.HasPrefix(key, ShardPrefix) && !turn() {
			return storer.Object{}, &crashedError{}
		}
		if w.next == mishapRefused {
			return storer.Object{}, &storer.UnavailableError{Key: key, Cause: &storer.OutageError{}}
		}
		return real.Get(ctx, key)
	}
	client.List = func(ctx context.Context, prefix string) ([]storer.Object, error) {
		if !turn() {
			return nil, &crashedError{}
		}
		return real.List(ctx, prefix)
	}
	client.Put = func(ctx context.Context, key string, value []byte, revision uint64) (storer.Object, error) {
		if !turn() {
			return storer.Object{}, &crashedError{}
		}
		var obj storer.Object
		err := w.act(key, func() (err error) {
			obj, err = real.Put(ctx, key, value, revision)
			return err
		})
		return obj, err
	}
	client.Delete = func(ctx context.Context, key string, revision uint64) error {
		if !turn() {
			return &crashedError{}
		}
		return w.act(key, func() error { return real.Delete(ctx, key, revision) })
	}
	w.programs++
	t := newTicketer(client, fmt.Sprintf("%s-%d", name, w.programs))
	t.keep = keptDecisions
	t.all = func(tasks []func() error) error {
		for _, task := range tasks {
			if err := task(); err != nil {
				return err
			}
		}
		return nil
	}
	return t
}

// act carries out a write with the mishap of the schedule.
func (w *world) act(key string, write func() error) error {
	lost := &storer.UnknownOutcomeError{Key: key, Cause: &storer.AnswerLostError{}}
	switch w.next {
	case mishapRefused:
		return &storer.UnavailableError{Key: key, Cause: &storer.OutageError{}}
	case mishapLate:
		w.late = append(w.late, func() { _ = write() })
		return lost
	case mishapLost:
		_ = write()
		return lost
	default:
		return write()
	}
}

// observe keeps each new head, and checks that the shards are there of every
// head that a slow reader may still use.
func (w *world) observe(t assert.TestingT) {
	h, revision, err := LoadHead(context.Background(), w.fake.Client())
	assert.NilError(t, err)
	if revision != w.revision {
		assert.Equal(t, revision, w.revision+1)
		w.heads = append(w.heads, h)
		w.revision = revision
	}
	for _, recent := range w.heads[max(0, len(w.heads)-keptDecisions-1):] {
		_, err = LoadSnapshot(context.Background(), w.fake.Client(), recent, nil)
		assert.NilError(t, err)
	}
}

// run plays a schedule until every operator is done or dead.
func (w *world) run(t *rapid.T, operators []operator) {
	mishaps := rapid.SampledFrom(append(
		slices.Repeat([]mishap{mishapNone}, 40),
		mishapRefused, mishapRefused, mishapLost, mishapLost, mishapLate, mishapLate, mishapCrash, mishapOutage,
	))
	for len(operators) > 0 {
		i := rapid.IntRange(0, len(operators)-1).Draw(t, "operator")
		w.next = mishaps.Draw(t, "mishap")
		if w.next == mishapOutage {
			w.outage = outageCalls
		}
		if w.outage > 0 {
			w.outage--
			w.next = mishapRefused
		}
		if w.next == mishapCrash {
			operators[i].stop()
			operators = slices.Delete(operators, i, i+1)
			continue
		}
		if _, alive := operators[i].resume(); !alive {
			operators = slices.Delete(operators, i, i+1)
		}
		w.observe(t)
		if len(w.late) > 0 && rapid.Bool().Draw(t, "arrives") {
			w.late[0]()
			w.late = w.late[1:]
			w.observe(t)
		}
	}
}

// lastNumber returns how many tickets there are, without a call.
func (w *world) lastNumber() uint64 {
	n := uint64(0)
	for _, obj := range w.fake.Dump() {
		if strings.HasPrefix(obj.Key, TicketPrefix) {
			n++
		}
	}
	return n
}

// drawScript draws what one operator does.
func (w *world) drawScript(t *rapid.T) func(*Ticketer) {
	type action struct {
		kind string
		// back counts from the latest ticket at that time.
		back   uint64
		change snapshotter.Change
		by     string
	}
	actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom([]string{"file", "file", "file", "approve", "approve", "approve", "approve", "approve", "withdraw", "settle", "trim", "trim"}).Draw(t, "kind"),
			back:   rapid.Uint64Range(0, 3).Draw(t, "back"),
			change: drawChange(t),
			by:     rapid.SampledFrom([]string{"ana", "ion", "vlad"}).Draw(t, "by"),
		}
	}), 1, 20).Draw(t, "actions")
	return func(tk *Ticketer) {
		for _, a := range actions {
			number := w.lastNumber() - min(a.back, w.lastNumber())
			switch a.kind {
			case "file":
				_, _ = tk.File(context.Background(), draft(a.by, a.change))
			case "approve":
				_, _ = tk.Approve(context.Background(), number, a.by)
			case "withdraw":
				_, _ = tk.Withdraw(context.Background(), number, a.by)
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

func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{fake: storer.NewFake()}
		var operators []operator
		for i := range 3 {
			operators = append(operators, w.operator(fmt.Sprintf("op%d", i), w.drawScript(t)))
		}
		w.run(t, operators)
		for _, arrive := range w.late {
			arrive()
			w.observe(t)
		}
		w.next = mishapNone
		settleAll(t, w)
		replay(t, w)
	})
}

// settleAll finishes whatever was left behind, as the next operator would.
func settleAll(t assert.TestingT, w *world) {
	tk := w.ticketer("last", func() bool { return true })
	list, err := tk.List(context.Background(), 100)
	assert.NilError(t, err)
	for _, ticket := range list {
		if ticket.State() != StateApproved {
			continue
		}
		settled, err := tk.Settle(context.Background(), ticket.Number)
		assert.NilError(t, err)
		assert.Assert(t, settled.State() == StateAccepted || settled.State() == StateRefused)
		w.observe(t)
	}
}

// replay checks that the heads are exactly the decisions on tickets, one after the other.
func replay(t assert.TestingT, w *world) {
	tk := w.ticketer("reader", func() bool { return true })
	running := snapshotter.Empty()
	decided := map[uint64]Decision{}
	for _, h := range w.heads {
		d := h.Recent[len(h.Recent)-1]
		_, twice := decided[d.Ticket]
		assert.Assert(t, !twice, "ticket %d was decided twice", d.Ticket)
		decided[d.Ticket] = d
		s, err := tk.load(context.Background(), d.Ticket)
		assert.NilError(t, err)
		next, err := snapshotter.Apply(running, s.Change, d.Ticket)
		assert.Equal(t, err == nil, d.Outcome == OutcomeAccepted, "ticket %d: %v", d.Ticket, err)
		if err == nil {
			assert.Equal(t, d.Version, running.Version+1)
			running = next
		}
		assert.Equal(t, h.Digest, running.Digest())
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
