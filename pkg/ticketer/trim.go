package ticketer

import (
	"context"
	"encoding/json"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

const (
	// TrimKey is the key of the list of shards that the next Trim may delete.
	TrimKey = "config/trim"
	// TrimEvery is how many versions pass between two trims.
	TrimEvery = 16
)

// orphan is a shard that neither the head nor a version in its list names.
type orphan struct {
	Key string `json:"key"`
	// Revision of the shard when it was found. A writer that wants the shard
	// again writes it again and so changes its revision.
	Revision uint64 `json:"revision"`
}

// orphans is the content of the object at TrimKey.
type orphans struct {
	// HeadRevision is that of the head when the shards were found.
	HeadRevision uint64   `json:"head-revision"`
	Shards       []orphan `json:"shards"`
}

// Trim deletes shards that no version in the head's list names, and returns
// how many. It needs two calls with a decision between them: the first lists
// what it finds, the second deletes what is still as it was.
//
// No shard that a head can still come to name is deleted. A writer reads the
// head, writes shards and then updates that head. If it wrote a shard before
// the shard was found, its head was read before too; the head has changed
// since, so its update fails. If it wrote the shard later, the revision has
// changed and the conditional deletion fails.
func (t *Ticketer) Trim(ctx context.Context) (int, error) {
	shards, err := t.Store.List(ctx, ShardPrefix)
	if err != nil {
		return 0, err
	}
	// The head is read after the list, so that its revision is not older.
	head, headRevision, err := t.loadHead(ctx)
	if err != nil {
		return 0, err
	}
	found, revision, err := t.loadOrphans(ctx)
	if err != nil {
		return 0, err
	}
	unnamed := head.unnamed(shards)
	deleted := 0
	if found.HeadRevision < headRevision {
		deleted = t.deleteOrphans(ctx, found, unnamed)
	}
	return deleted, t.saveOrphans(ctx, headRevision, unnamed, revision)
}

// unnamed returns the revisions of the shards, by key, that no listed version names.
func (h Head) unnamed(shards []storer.Object) map[string]uint64 {
	left := make(map[string]uint64, len(shards))
	for _, s := range shards {
		left[s.Key] = s.Revision
	}
	for _, d := range h.Shards {
		delete(left, ShardKey(d))
	}
	for _, recent := range h.Recent {
		for _, d := range recent.Replaced {
			delete(left, ShardKey(d))
		}
	}
	return left
}

func (t *Ticketer) loadOrphans(ctx context.Context) (orphans, uint64, error) {
	obj, err := t.get(ctx, TrimKey)
	if notFound(err) {
		return orphans{}, 0, nil
	}
	if err != nil {
		return orphans{}, 0, err
	}
	var found orphans
	if err := json.Unmarshal(obj.Value, &found); err != nil {
		return orphans{}, 0, &snapshotter.MalformedError{Subject: TrimKey, Cause: err}
	}
	return found, obj.Revision, nil
}

// deleteOrphans deletes what was found before and is unnamed still, and takes
// it out of unnamed.
func (t *Ticketer) deleteOrphans(ctx context.Context, found orphans, unnamed map[string]uint64) int {
	gone := make([]bool, len(found.Shards))
	var deletions []func() error
	for i, o := range found.Shards {
		if unnamed[o.Key] != o.Revision {
			continue
		}
		deletions = append(deletions, func() error {
			gone[i] = t.Store.Delete(ctx, o.Key, o.Revision) == nil
			return nil
		})
	}
	_ = t.all(deletions)
	deleted := 0
	for i, o := range found.Shards {
		if gone[i] {
			delete(unnamed, o.Key)
			deleted++
		}
	}
	return deleted
}

// saveOrphans is one attempt: when another trim came first, its list is as good.
func (t *Ticketer) saveOrphans(ctx context.Context, headRevision uint64, unnamed map[string]uint64, revision uint64) error {
	list := orphans{HeadRevision: headRevision}
	for key, rev := range unnamed {
		list.Shards = append(list.Shards, orphan{Key: key, Revision: rev})
	}
	value, err := json.Marshal(list)
	if err != nil {
		return &snapshotter.MalformedError{Subject: TrimKey, Cause: err}
	}
	_, err = t.Store.Put(ctx, TrimKey, value, revision)
	if conflicts(err) {
		return nil
	}
	return err
}
