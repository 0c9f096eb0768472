package blackboard

import (
	"context"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

type enter struct{ phase LifecyclePhase }

type seen struct{ phase LifecyclePhase }

// phaseSetter sets the phase that a message names and hands out one effect.
func phaseSetter() Controller {
	return Controller{
		Name: "phase-setter",
		Reduce: func(s State, msg Msg) (State, []Effect) {
			m, ok := msg.(enter)
			if !ok {
				return s, nil
			}
			s.Lifecycle.Phase = m.phase
			return s, []Effect{m}
		},
		Run: func(context.Context, Effect, Post) {},
	}
}

// runBoard runs a board until use returns.
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
	t.Run("a message changes the state that readers see", func(t *testing.T) {
		runBoard(t, []Controller{phaseSetter()}, func(b *Board) {
			b.Post(enter{LifecycleServing})
			synctest.Wait()
			assert.Equal(t, b.Read().Lifecycle.Phase, LifecycleServing)
		})
	})
	t.Run("an effect reads the state that it came from, with every controller's part", func(t *testing.T) {
		var atEffect State
		var b *Board
		setter := phaseSetter()
		setter.Run = func(context.Context, Effect, Post) { atEffect = *b.Read() }
		marker := Controller{
			Name: "marker",
			Reduce: func(s State, _ Msg) (State, []Effect) {
				s.Config.Floor++
				return s, nil
			},
		}
		runBoard(t, []Controller{setter, marker}, func(board *Board) {
			b = board
			b.Post(enter{LifecycleDraining})
			synctest.Wait()
		})
		assert.Equal(t, atEffect.Lifecycle.Phase, LifecycleDraining)
		assert.Equal(t, atEffect.Config.Floor, uint64(1))
	})
	t.Run("what an effect posts reaches every controller", func(t *testing.T) {
		var got []LifecyclePhase
		setter := phaseSetter()
		setter.Run = func(_ context.Context, e Effect, post Post) { post(seen{e.(enter).phase}) }
		listener := Controller{
			Name: "listener",
			Reduce: func(s State, msg Msg) (State, []Effect) {
				if m, ok := msg.(seen); ok {
					got = append(got, m.phase)
				}
				return s, nil
			},
		}
		runBoard(t, []Controller{listener, setter}, func(b *Board) {
			b.Post(enter{LifecycleServing})
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
			b.Post(enter{LifecycleServing})
		}
	})
}
