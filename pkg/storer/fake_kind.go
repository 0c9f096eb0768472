package storer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"
)

// change is one entry of a Fake's history.
type change struct {
	key     string
	removed bool
}

// record adds to the history. f.mu is held.
func (f *Fake) record(c change) {
	f.history = append(f.history, c)
	f.wakeFollowers()
}

// wakeFollowers ends the waits for a change of the store. f.mu is held.
func (f *Fake) wakeFollowers() {
	if f.grown != nil {
		close(f.grown)
		f.grown = nil
	}
}

// Compact drops the history: who follows from an earlier revision has to scan.
func (f *Fake) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compacted = uint64(len(f.history))
	f.wakeFollowers()
}

func (f *Fake) scan(ctx context.Context, kind string) (Changes, error) {
	if _, err := f.admit(ctx, OpScan, kind); err != nil {
		return Changes{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Changes{Revision: uint64(len(f.history))}
	for _, key := range slices.Sorted(maps.Keys(f.objects)) {
		if strings.HasPrefix(key, kind+"/") {
			c.Objects = append(c.Objects, f.objects[key])
		}
	}
	return c, nil
}

func (f *Fake) follow(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error) {
	if _, err := f.admit(ctx, OpFollow, kind); err != nil {
		return Changes{}, err
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		switch {
		case f.faults.Outage:
			return Changes{}, &UnavailableError{Key: kind, Cause: &OutageError{}}
		case after < f.compacted:
			return Changes{}, &CompactedError{Kind: kind, Revision: after}
		}
		if c := f.since(kind, after); len(c.Objects)+len(c.Removed) > 0 {
			return c, nil
		}
		err := f.waitForChange(waiting)
		if ctx.Err() != nil {
			return Changes{}, ctx.Err()
		}
		if err != nil {
			return Changes{Revision: after}, nil //nolint:nilerr // the wait is over
		}
	}
}

// since returns what has changed, each key once. f.mu is held.
func (f *Fake) since(kind string, after uint64) Changes {
	c := Changes{Revision: uint64(len(f.history))}
	seen := map[string]bool{}
	for i := len(f.history) - 1; i >= int(after); i-- {
		h := f.history[i]
		if seen[h.key] || !strings.HasPrefix(h.key, kind+"/") {
			continue
		}
		seen[h.key] = true
		if h.removed {
			c.Removed = append(c.Removed, h.key)
		} else {
			c.Objects = append(c.Objects, f.objects[h.key])
		}
	}
	return c
}

// waitForChange returns when the store has changed or an outage begins. f.mu is held before and after.
func (f *Fake) waitForChange(ctx context.Context) error {
	if f.grown == nil {
		f.grown = make(chan struct{})
	}
	ch := f.grown
	f.mu.Unlock()
	defer f.mu.Lock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-ch:
		return nil
	}
}
