// Package blackboard holds the state that a node's controllers share, as one
// State value. State that more than one controller needs is never kept in a
// controller: each controller owns one entry of the board, reads the others,
// and changes its own entry in response to messages.
//
// State changes in one place, Board.Run. Each message is passed to every
// controller's Reduce function in a fixed order. Reduce is pure: it returns
// the new state and the effects to run, as values. The board then publishes
// the state and passes each effect to the controller's Run function, which
// does the I/O and posts the results as further messages:
//
//	board := blackboard.New(state, []blackboard.Controller{elector, follower})
//	group.Go(func() error { return board.Run(ctx) })
//	board.Post(blackboard.Tick{Now: time.Now()})
//	running := board.Read().Config.Running
//
// Because Reduce reads no clock and does no I/O, tests can drive controllers
// through millions of messages without waiting.
package blackboard

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Msg is an event that controllers react to. Each kind of message has its own type.
type Msg any

// Effect describes an action with side effects that a controller's Run function
// performs. Each kind of effect has its own type.
type Effect any

// Post sends a message to the board.
type Post func(Msg)

// Controller owns one entry of the board.
type Controller struct {
	// Name is in kebab case and unique on a board.
	Name string
	// Reduce handles a message. It is pure and changes only the controller's own entry.
	Reduce func(s State, msg Msg) (State, []Effect)
	// Run performs one effect of this controller. It returns when the effect is complete or ctx is done.
	Run func(ctx context.Context, e Effect, post Post)
}

// inboxMessages is the number of posted messages that are buffered before Post blocks.
const inboxMessages = 1024

// Board publishes the current State to any number of readers.
type Board struct {
	controllers []Controller
	inbox       chan Msg
	// state is replaced on each message, never modified in place.
	state atomic.Pointer[State]
	done  chan struct{}
}

// New returns a board with an initial state. Run starts it.
func New(s State, controllers []Controller) *Board {
	b := &Board{
		controllers: controllers,
		inbox:       make(chan Msg, inboxMessages),
		done:        make(chan struct{}),
	}
	b.state.Store(&s)
	return b
}

// Read returns the current state. The caller must not modify it.
func (b *Board) Read() *State { return b.state.Load() }

// Post sends a message to the board. Once the board has stopped, Post discards the message.
func (b *Board) Post(msg Msg) {
	select {
	case b.inbox <- msg:
	case <-b.done:
	}
}

// Run handles messages until ctx is done, then waits for running effects to return.
func (b *Board) Run(ctx context.Context) error {
	var group errgroup.Group
	defer group.Wait() //nolint:errcheck // effects report through messages
	defer close(b.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-b.inbox:
			b.handle(ctx, &group, msg)
		}
	}
}

// pendingEffect is an effect together with the controller that runs it.
type pendingEffect struct {
	controller *Controller
	effect     Effect
}

// handle passes one message to every controller, publishes the resulting state
// once, and then starts the effects, so that an effect never reads a state older
// than the one that produced it.
func (b *Board) handle(ctx context.Context, group *errgroup.Group, msg Msg) {
	s := *b.state.Load()
	var effects []pendingEffect
	for i := range b.controllers {
		c := &b.controllers[i]
		next, emitted := c.Reduce(s, msg)
		s = next
		for _, e := range emitted {
			effects = append(effects, pendingEffect{controller: c, effect: e})
		}
	}
	b.state.Store(&s)
	for _, p := range effects {
		group.Go(func() error {
			p.controller.Run(ctx, p.effect, b.Post)
			return nil
		})
	}
}
