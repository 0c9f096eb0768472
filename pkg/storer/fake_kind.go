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

// record appends to the history and wakes the calls of Follow. f.mu is held.
func (f *Fake) record(c change) {
	f.history = append(f.history, c)
	f.wakeFollows()
}

// wakeFollows wakes the calls of Follow that wait for a change of the store. f.mu
// is held.
func (f *Fake) wakeFollows() {
	if f.storeChanged != nil {
		close(f.storeChanged)
		f.storeChanged = nil
	}
}

// Compact drops the history: a Follow from an earlier revision returns
// *CompactedError.
func (f *Fake) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compactedRevision = uint64(len(f.history))
	f.wakeFollows()
}

func (f *Fake) scan(ctx context.Context, kind string) (Changes, error) {
	if _, err := f.startCall(ctx, OpScan, kind); err != nil {
		return Changes{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Changes{Revision: uint64(len(f.history)), Era: f.era}
	for _, key := range slices.Sorted(maps.Keys(f.objects)) {
		if strings.HasPrefix(key, kind+"/") {
			c.Objects = append(c.Objects, f.objects[key])
		}
	}
	return c, nil
}

func (f *Fake) follow(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error) {
	if _, err := f.startCall(ctx, OpFollow, kind); err != nil {
		return Changes{}, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		switch {
		case f.faults.Outage:
			return Changes{}, &UnavailableError{Key: kind, Cause: &OutageError{}}
		case after < f.compactedRevision, after > uint64(len(f.history)):
			return Changes{}, &CompactedError{Kind: kind, Revision: after}
		}
		if c := f.changesSince(kind, after); len(c.Objects)+len(c.Removed) > 0 {
			return c, nil
		}
		err := f.waitForChange(waitCtx)
		if ctx.Err() != nil {
			return Changes{}, ctx.Err()
		}
		if err != nil {
			return Changes{Revision: after, Era: f.era}, nil //nolint:nilerr // the time to wait has passed
		}
	}
}

// changesSince returns the changes of a kind after a revision of the store, each
// key once, as it is now. f.mu is held.
func (f *Fake) changesSince(kind string, after uint64) Changes {
	c := Changes{Revision: uint64(len(f.history)), Era: f.era}
	seen := map[string]bool{}
	for i := len(f.history) - 1; i >= int(after); i-- {
		entry := f.history[i]
		if seen[entry.key] || !strings.HasPrefix(entry.key, kind+"/") {
			continue
		}
		seen[entry.key] = true
		if entry.removed {
			c.Removed = append(c.Removed, entry.key)
		} else {
			c.Objects = append(c.Objects, f.objects[entry.key])
		}
	}
	return c
}

// waitForChange returns when the store has changed, an outage begins or ctx ends.
// f.mu is held before and after, and released while it waits.
func (f *Fake) waitForChange(ctx context.Context) error {
	if f.storeChanged == nil {
		f.storeChanged = make(chan struct{})
	}
	ch := f.storeChanged
	f.mu.Unlock()
	defer f.mu.Lock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-ch:
		return nil
	}
}
