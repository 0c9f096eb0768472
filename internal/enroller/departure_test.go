package enroller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/announcer"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/pkg/storer"
)

// nodeProcess is a process of one node, with the controllers that deal with its target.
type nodeProcess struct {
	board *blackboard.Board
	stop  func()
}

func startNodeProcess(ctx context.Context, store *storer.Fake) *nodeProcess {
	ctx, cancel := context.WithCancel(ctx)
	p := &nodeProcess{}
	s := blackboard.State{Lifecycle: blackboard.Lifecycle{Phase: blackboard.LifecycleServing}}
	s.Target.Record = blackboard.TargetRecord{Phase: blackboard.TargetNone, Service: "roster"}
	p.board = blackboard.New(s, []blackboard.Controller{
		announcer.New(announcer.Config{DeparturesKept: true, AnnouncementLifetime: time.Minute, Log: &logger.Logger{}}),
		New(Config{
			Self: nodeRecord("reyk-a-1", "10.0.0.1:7600"), Platform: store.Client(),
			State: func() *blackboard.State { return p.board.Read() },
		}),
	})
	var group sync.WaitGroup
	group.Go(func() { _ = p.board.Run(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			p.board.Post(blackboard.Tick{Now: time.Now()})
			time.Sleep(blackboard.TickInterval)
		}
	})
	p.stop = func() {
		cancel()
		group.Wait()
	}
	return p
}

// announce posts an announcement of the process i-1 of the target that is ready.
func (p *nodeProcess) announce(sequence uint64, phase blackboard.TargetPhase) {
	p.announceProcess("i-1", 100, sequence, phase)
}

func (p *nodeProcess) announceProcess(id string, started int64, sequence uint64, phase blackboard.TargetPhase) {
	p.board.Post(blackboard.TargetAnnounced{
		Service: "roster", Address: "10.0.0.1:80", Slots: 9, Connections: 9, Phase: phase,
		ID: id, Started: started, Sequence: sequence, Now: time.Now(),
	})
}

// leave posts that the process i-1 leaves and returns after which time it is confirmed.
func (p *nodeProcess) leave(t *testing.T) time.Duration {
	t.Helper()
	sent := time.Now()
	confirmed := make(chan struct{})
	p.board.Post(blackboard.TargetLeft{ID: "i-1", Applied: func() { close(confirmed) }, Now: sent})
	<-confirmed
	return time.Since(sent)
}

// assertPhase checks the phase of the target after a time.
func (p *nodeProcess) assertPhase(t *testing.T, after time.Duration, want blackboard.TargetPhase) {
	t.Helper()
	time.Sleep(after)
	synctest.Wait()
	assert.Equal(t, p.board.Read().Target.Record.Phase, want)
}

// playTwoProcesses runs a first process of a node and then a second one on the same store.
func playTwoProcesses(t *testing.T, first, second func(t *testing.T, p *nodeProcess, store *storer.Fake)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewFake()
		for _, play := range []func(*testing.T, *nodeProcess, *storer.Fake){first, second} {
			p := startNodeProcess(t.Context(), store)
			p.board.Post(blackboard.Tick{Now: time.Now()})
			synctest.Wait()
			play(t, p, store)
			p.stop()
		}
	})
}

// TestDepartedTargetIsUsedAfterRestart guards against a node that has restarted since its
// target left, and takes a delayed announcement for a sign that the target accepts work.
func TestDepartedTargetIsUsedAfterRestart(t *testing.T) {
	leave := func(t *testing.T, p *nodeProcess, _ *storer.Fake) {
		p.announce(7, blackboard.TargetReady)
		p.assertPhase(t, 0, blackboard.TargetReady)
		assert.Assert(t, p.leave(t) < recordTimeout)
	}
	t.Run("a delayed announcement of a process that left", func(t *testing.T) {
		playTwoProcesses(t, leave, func(t *testing.T, p *nodeProcess, _ *storer.Fake) {
			p.announce(6, blackboard.TargetReady)
			p.assertPhase(t, 0, blackboard.TargetDraining)
			p.assertPhase(t, 10*time.Second, blackboard.TargetDraining)
		})
	})
	t.Run("a process that goes on announcing after it left", func(t *testing.T) {
		playTwoProcesses(t, leave, func(t *testing.T, p *nodeProcess, _ *storer.Fake) {
			for sequence := range uint64(5) {
				p.announce(8+sequence, blackboard.TargetReady)
				p.assertPhase(t, time.Second, blackboard.TargetDraining)
			}
		})
	})
	t.Run("a delayed announcement of a process that drains", func(t *testing.T) {
		drain := func(t *testing.T, p *nodeProcess, _ *storer.Fake) {
			p.announce(7, blackboard.TargetReady)
			p.announce(8, blackboard.TargetDraining)
			p.assertPhase(t, 0, blackboard.TargetDraining)
		}
		playTwoProcesses(t, drain, func(t *testing.T, p *nodeProcess, _ *storer.Fake) {
			p.announce(7, blackboard.TargetReady)
			p.assertPhase(t, time.Second, blackboard.TargetDraining)
		})
	})
	t.Run("the announcement comes before the platform answers", func(t *testing.T) {
		playTwoProcesses(t, func(t *testing.T, p *nodeProcess, store *storer.Fake) {
			leave(t, p, store)
			store.SetFaults(storer.Faults{Outage: true})
		}, func(t *testing.T, p *nodeProcess, store *storer.Fake) {
			p.announce(6, blackboard.TargetReady)
			p.assertPhase(t, 300*time.Millisecond, blackboard.TargetNone)
			store.SetFaults(storer.Faults{})
			p.assertPhase(t, 5*time.Second, blackboard.TargetDraining)
		})
	})
	t.Run("a later process of the target", func(t *testing.T) {
		playTwoProcesses(t, leave, func(t *testing.T, p *nodeProcess, _ *storer.Fake) {
			p.announceProcess("i-1", 200, 1, blackboard.TargetReady)
			p.assertPhase(t, 0, blackboard.TargetReady)
		})
	})
	t.Run("a target that has not left", func(t *testing.T) {
		playTwoProcesses(t, func(_ *testing.T, p *nodeProcess, _ *storer.Fake) {
			p.announce(7, blackboard.TargetReady)
		}, func(t *testing.T, p *nodeProcess, _ *storer.Fake) {
			p.announce(8, blackboard.TargetReady)
			p.assertPhase(t, 0, blackboard.TargetReady)
		})
	})
}

// TestDepartureWhilePlatformIsAway guards against a target that gets no answer to its
// leave while the platform is away, and against a departure that is never recorded.
func TestDepartureWhilePlatformIsAway(t *testing.T) {
	playTwoProcesses(t, func(t *testing.T, p *nodeProcess, store *storer.Fake) {
		p.announce(7, blackboard.TargetReady)
		store.SetFaults(storer.Faults{Outage: true})
		assert.Equal(t, p.leave(t), recordTimeout)
		store.SetFaults(storer.Faults{})
		time.Sleep(5 * time.Second)
	}, func(t *testing.T, p *nodeProcess, _ *storer.Fake) {
		p.announce(6, blackboard.TargetReady)
		p.assertPhase(t, time.Second, blackboard.TargetDraining)
	})
}

// TestStartWithoutPlatform guards against a node that never uses its target while the
// platform is away.
func TestStartWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewFake()
		store.SetFaults(storer.Faults{Outage: true})
		p := startNodeProcess(t.Context(), store)
		p.announce(1, blackboard.TargetReady)
		p.assertPhase(t, time.Second, blackboard.TargetNone)
		p.assertPhase(t, 1500*time.Millisecond, blackboard.TargetReady)
		p.stop()
	})
}

// TestOddDeparture guards against a departure that another program has written.
func TestOddDeparture(t *testing.T) {
	for name, value := range map[string]string{
		"not an object":      `{"host":"reyk-a-1","target-departure":"what"}`,
		"without a process":  `{"host":"reyk-a-1","target-departure":{}}`,
		"a number too large": `{"host":"reyk-a-1","target-departure":{"id":"i-1","sequence":99999999999999999999999}}`,
		"not JSON":           `what`,
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, decodeDeparture([]byte(value)), blackboard.TargetDeparture{})
		})
	}
}

// TestDepartureOfRemovedNode guards against a target whose leave is not answered because
// its node has removed its object, and against an object that comes back.
func TestDepartureOfRemovedNode(t *testing.T) {
	store := storer.NewFake()
	_, effects := Reduce(blackboard.State{Enrolment: blackboard.Enrolment{Removed: true}}, blackboard.TargetDeparted{})
	assert.Equal(t, len(effects), 1)
	answered := false
	e := effects[0].(recordDeparture)
	e.recorded = func() { answered = true }
	New(Config{Self: nodeRecord("reyk-a-1", "10.0.0.1:7600"), Platform: store.Client()}).Run(t.Context(), e, nil)
	assert.Assert(t, answered)
	assert.Equal(t, len(store.Dump()), 0)
}
