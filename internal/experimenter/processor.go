package experimenter

import (
	"slices"
	"time"
)

// job is a request that a target is working on.
type job struct {
	// endsAt is the processor's progress at which the job is done.
	endsAt float64
	done   func()
}

// processor works on any number of jobs at once. Up to its capacity each runs
// at full speed; beyond it they share the capacity.
type processor struct {
	loop *loop
	// capacity is how many jobs run at full speed.
	capacity float64
	// slowness divides the speed of every job; at least 1.
	slowness float64
	// thrash is the part of the capacity that each job beyond it costs.
	thrash float64
	jobs   []*job
	// progress in nanoseconds of full-speed work that a job present all the time has received.
	progress float64
	updated  time.Time
	// generation counts the changes: an alarm of an earlier one is void.
	generation int
}

func newProcessor(l *loop, capacity int) *processor {
	return &processor{loop: l, capacity: float64(capacity), slowness: 1, updated: l.now}
}

func (p *processor) speed() float64 {
	if n := float64(len(p.jobs)); n > p.capacity {
		return p.capacity / n / (1 + p.thrash*(n-p.capacity)) / p.slowness
	}
	return 1 / p.slowness
}

// advance brings the progress up to now. It must be called before any change.
func (p *processor) advance() {
	p.progress += float64(p.loop.now.Sub(p.updated)) * p.speed()
	p.updated = p.loop.now
}

// add starts a job of the given work and returns it.
func (p *processor) add(work time.Duration, done func()) *job {
	p.advance()
	j := &job{endsAt: p.progress + float64(work), done: done}
	p.jobs = append(p.jobs, j)
	p.schedule()
	return j
}

// remove stops a job without its done function being called.
func (p *processor) remove(j *job) {
	p.advance()
	if i := slices.Index(p.jobs, j); i >= 0 {
		p.jobs = slices.Delete(p.jobs, i, i+1)
		p.schedule()
	}
}

// set changes the speed from now on.
func (p *processor) set(slowness, capacity, thrash float64) {
	p.advance()
	p.slowness, p.capacity, p.thrash = slowness, capacity, thrash
	p.schedule()
}

// schedule sets an alarm for the job that ends first.
func (p *processor) schedule() {
	p.generation++
	if len(p.jobs) == 0 {
		return
	}
	first := p.first()
	g := p.generation
	remaining := max(first.endsAt-p.progress, 0) / p.speed()
	p.loop.after(time.Duration(remaining)+1, func() {
		if g == p.generation {
			p.finish(first)
		}
	})
}

func (p *processor) first() *job {
	return slices.MinFunc(p.jobs, func(a, b *job) int {
		switch {
		case a.endsAt < b.endsAt:
			return -1
		case a.endsAt > b.endsAt:
			return 1
		}
		return 0
	})
}

func (p *processor) finish(j *job) {
	p.remove(j)
	j.done()
}
