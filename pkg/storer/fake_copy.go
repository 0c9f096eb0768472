package storer

import (
	"maps"
	"slices"
)

// FakeCopy is the state of a Fake at one time.
type FakeCopy struct {
	objects          map[string]Object
	deletedRevisions map[string]uint64
	history          []change
}

// Copy returns the state as it is.
func (f *Fake) Copy() FakeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FakeCopy{objects: maps.Clone(f.objects), deletedRevisions: maps.Clone(f.deletedRevisions), history: slices.Clone(f.history)}
}

// Restore replaces the state by a copy and begins another era. What was written since
// the copy was made is lost, and its revisions are given out again.
func (f *Fake) Restore(c FakeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects, f.deletedRevisions, f.history = maps.Clone(c.objects), maps.Clone(c.deletedRevisions), slices.Clone(c.history)
	f.era++
	for key := range f.keyChanged {
		f.wakeWatches(key)
	}
	f.wakeFollows()
}
