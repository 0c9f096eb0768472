package composer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// stopMargin is how long the components of a node may take to end in addition to the
// close timeout of its servers. It fits into what then remains of the platform's
// grace period.
const stopMargin = 200 * time.Millisecond

// runGroup runs the components of a node until they end.
type runGroup struct {
	group *errgroup.Group
	ctx   context.Context

	mu sync.Mutex
	// running holds the names of the components that have not ended. Guarded by mu.
	running []string
}

// newRunGroup returns a group whose context ends when a component fails.
func newRunGroup(ctx context.Context) *runGroup {
	g := &runGroup{}
	g.group, g.ctx = errgroup.WithContext(ctx)
	return g
}

// start runs a component in a new goroutine.
func (g *runGroup) start(name string, run func(ctx context.Context) error) {
	g.mu.Lock()
	g.running = append(g.running, name)
	g.mu.Unlock()
	g.group.Go(func() error {
		defer g.markEnded(name)
		return run(g.ctx)
	})
}

func (g *runGroup) markEnded(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.running, name); i >= 0 {
		g.running = slices.Delete(g.running, i, i+1)
	}
}

// wait waits until all components have ended, calls finish and returns the first
// error of a component. If that takes longer than the limit after the end of their
// context, it returns the names of the components that have not ended, and no
// error: a component may hang on a peer that does not read.
func (g *runGroup) wait(limit time.Duration, finish func()) (unfinished string, err error) {
	done := make(chan error, 1)
	var waiting sync.WaitGroup
	waiting.Go(func() {
		err := g.group.Wait()
		finish()
		done <- err
	})
	select {
	case err = <-done:
		return "", err
	case <-g.ctx.Done():
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err = <-done:
		return "", err
	case <-timer.C:
		return g.unfinished(), nil
	}
}

// unfinished returns the names of the components that have not ended. If all have,
// finish is what takes long, which closes the links.
func (g *runGroup) unfinished() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.running) == 0 {
		return "links"
	}
	return strings.Join(g.running, ", ")
}
