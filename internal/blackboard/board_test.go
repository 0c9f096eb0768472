package blackboard

import (
	"context"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// setPhase asks phaseSetter to set a phase.
type setPhase struct{ phase LifecyclePhase }

// phaseSet is the message that an effect posts.
type phaseSet struct{ phase LifecyclePhase }

// phaseSetter returns a controller that sets the phase of a setPhase message and returns the message as an effect.
func phaseSetter() Controller {
	return Controller{
		Name: "phase-setter",
		Reduce: func(s State, msg Msg) (State, []Effect) {
			m, ok := msg.(setPhase)
			if !ok {
				return s, nil
			}
			s.Lifecycle.Phase = m.phase
			return s, []Effect{m}
		},
		Run: func(context.Context, Effect, Post) {},
	}
}

// runBoard runs a board under fake time until use returns.
func runBoard(t *testing.T, controllers []Controller, use func(*Board)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		b := New(State{}, controllers)
		group.Go(func() error { return b.Run(ctx) })
		use(b)
		cancel()
		assert.NilError(t, group.Wait())
	})
}

func TestBoard(t *testing.T) {
	t.Run("a message changes the published state", func(t *testing.T) {
		runBoard(t, []Controller{phaseSetter()}, func(b *Board) {
			b.Post(setPhase{LifecycleServing})
			synctest.Wait()
			assert.Equal(t, b.Read().Lifecycle.Phase, LifecycleServing)
		})
	})
	t.Run("an effect reads the state that every controller has reduced", func(t *testing.T) {
		var stateAtEffect State
		var b *Board
		setter := phaseSetter()
		setter.Run = func(context.Context, Effect, Post) { stateAtEffect = *b.Read() }
		incrementer := Controller{
			Name: "marker",
			Reduce: func(s State, _ Msg) (State, []Effect) {
				s.Config.Floor++
				return s, nil
			},
		}
		runBoard(t, []Controller{setter, incrementer}, func(board *Board) {
			b = board
			b.Post(setPhase{LifecycleDraining})
			synctest.Wait()
		})
		assert.Equal(t, stateAtEffect.Lifecycle.Phase, LifecycleDraining)
		assert.Equal(t, stateAtEffect.Config.Floor, uint64(1))
	})
	t.Run("a message posted by an effect reaches every controller", func(t *testing.T) {
		var got []LifecyclePhase
		setter := phaseSetter()
		setter.Run = func(_ context.Context, e Effect, post Post) { post(phaseSet{e.(setPhase).phase}) }
		listener := Controller{
			Name: "listener",
			Reduce: func(s State, msg Msg) (State, []Effect) {
				if m, ok := msg.(phaseSet); ok {
					got = append(got, m.phase)
				}
				return s, nil
			},
		}
		runBoard(t, []Controller{listener, setter}, func(b *Board) {
			b.Post(setPhase{LifecycleServing})
			synctest.Wait()
		})
		assert.DeepEqual(t, got, []LifecyclePhase{LifecycleServing})
	})
	t.Run("posting to a stopped board does not block", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		b := New(State{}, nil)
		assert.NilError(t, b.Run(ctx))
		for range 2 * inboxMessages {
			b.Post(setPhase{LifecycleServing})
		}
	})
}
