package executor

import (
	"context"

	"gentianbarrow.example/internal/blackboard"
)

// syncLimits is the effect of a tick: the limits of the target are refreshed.
type syncLimits struct{}

// Controller returns the controller that applies changes of the target and the
// configuration to waiting requests on each tick. It writes no entry of the
// blackboard.
func (e *Executor) Controller() blackboard.Controller {
	return blackboard.Controller{
		Name: "executor",
		Reduce: func(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
			if _, ok := msg.(blackboard.Tick); !ok {
				return s, nil
			}
			return s, []blackboard.Effect{syncLimits{}}
		},
		Run: func(context.Context, blackboard.Effect, blackboard.Post) { e.Sync() },
	}
}
