package composer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// endMargin is what the parts of a node may take to end beyond the time that its
// servers have: what is left of the platform's grace after that is enough for it.
const endMargin = 200 * time.Millisecond

// parts are what runs in a node until it ends.
type parts struct {
	group *errgroup.Group
	ctx   context.Context

	mu sync.Mutex
	// running names the parts that have not ended. Guarded by mu.
	running []string
}

// newParts returns parts whose context ends with the first that fails.
func newParts(ctx context.Context) *parts {
	p := &parts{}
	p.group, p.ctx = errgroup.WithContext(ctx)
	return p
}

// start runs one part in the group.
func (p *parts) start(name string, run func(ctx context.Context) error) {
	p.mu.Lock()
	p.running = append(p.running, name)
	p.mu.Unlock()
	p.group.Go(func() error {
		defer p.ended(name)
		return run(p.ctx)
	})
}

func (p *parts) ended(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.running, name); i >= 0 {
		p.running = slices.Delete(p.running, i, i+1)
	}
}

// wait returns the failure of the parts when all have ended and finish has run, or
// nil when that takes longer than the limit after the end of their context: a part
// may hang on a peer that does not read. It then tells which have not ended.
func (p *parts) wait(limit time.Duration, finish func()) (left string, err error) {
	done := make(chan error, 1)
	var waiting sync.WaitGroup
	waiting.Go(func() {
		err := p.group.Wait()
		finish()
		done <- err
	})
	select {
	case err = <-done:
		return "", err
	case <-p.ctx.Done():
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err = <-done:
		return "", err
	case <-timer.C:
		return p.names(), nil
	}
}

// names tells which parts have not ended; without any it is the rest of the end that takes long.
func (p *parts) names() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.running) == 0 {
		return "links"
	}
	return strings.Join(p.running, ", ")
}
