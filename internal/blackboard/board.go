// Package blackboard holds everything that a node's controllers know, as one
// State. A controller never keeps state of its own that another needs: it
// reads the board, and it changes its own entry in answer to a message.
//
// State changes in one place, Board.Run. Each message goes to every
// controller's Reduce function in a fixed order. Reduce is pure: it returns
// the new state and the effects to carry out, as values. The board then
// publishes the state and hands each effect to the controller's Run function,
// which does the I/O and posts what came of it as further messages:
//
//	board := blackboard.New(state, []blackboard.Controller{elector, follower})
//	group.Go(func() error { return board.Run(ctx) })
//	board.Post(blackboard.Tick{Now: time.Now()})
//	running := board.Read().Config.Running
//
// Because Reduce has no clock and no I/O, tests drive controllers through
// millions of messages with no time passing.
package blackboard

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Msg is something that happened. Each kind of message has its own type.
type Msg any

// Effect is something to do, handed out as a value. Each kind has its own type.
type Effect any

// Post hands a message to the board.
type Post func(Msg)

// Controller owns one entry of the board.
type Controller struct {
	// Name is in kebab case and unique on a board.
	Name string
	// Reduce answers a message. It is pure and changes only the controller's own entry.
	Reduce func(s State, msg Msg) (State, []Effect)
	// Run carries out one effect of this controller. It returns when the effect is done or ctx ends.
	Run func(ctx context.Context, e Effect, post Post)
}

// inboxMessages is how many posted messages may wait before Post blocks.
const inboxMessages = 1024

// Board publishes the current State to any number of readers.
type Board struct {
	controllers []Controller
	inbox       chan Msg
	// state is replaced, never changed in place.
	state atomic.Pointer[State]
	done  chan struct{}
}

// New returns a board with a first state. Run starts it.
func New(s State, controllers []Controller) *Board {
	b := &Board{
		controllers: controllers,
		inbox:       make(chan Msg, inboxMessages),
		done:        make(chan struct{}),
	}
	b.state.Store(&s)
	return b
}

// Read returns the current state. It must not be changed.
func (b *Board) Read() *State { return b.state.Load() }

// Post hands a message to the board. After the board has stopped it does nothing.
func (b *Board) Post(msg Msg) {
	select {
	case b.inbox <- msg:
	case <-b.done:
	}
}

// Run handles messages until ctx ends, then waits for the effects under way.
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

// handed is an effect with the controller that carries it out.
type handed struct {
	controller *Controller
	effect     Effect
}

// handle lets every controller answer one message, publishes the state once,
// and then starts the effects, so that an effect never reads an older state
// than the one it came from.
func (b *Board) handle(ctx context.Context, group *errgroup.Group, msg Msg) {
	s := *b.state.Load()
	var effects []handed
	for i := range b.controllers {
		c := &b.controllers[i]
		next, own := c.Reduce(s, msg)
		s = next
		for _, e := range own {
			effects = append(effects, handed{controller: c, effect: e})
		}
	}
	b.state.Store(&s)
	for _, h := range effects {
		group.Go(func() error {
			h.controller.Run(ctx, h.effect, b.Post)
			return nil
		})
	}
}
