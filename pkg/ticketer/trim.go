package ticketer

import (
	"context"
	"encoding/json"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

const (
	// TrimKey is the key of the list of orphaned shards that the next Trim may delete.
	TrimKey = "config/trim"
	// TrimIntervalVersions is the number of versions between two automatic trims.
	TrimIntervalVersions = 16
)

// orphanShard is a shard that neither the head nor one of its recent decisions refers to.
type orphanShard struct {
	Key string `json:"key"`
	// Revision is the revision of the shard when it was found. A writer that needs
	// the shard rewrites it, which changes the revision.
	Revision uint64 `json:"revision"`
}

// orphanList is the content of the object at TrimKey.
type orphanList struct {
	// HeadRevision is the revision of the head when the shards were found.
	HeadRevision uint64        `json:"head-revision"`
	Shards       []orphanShard `json:"shards"`
}

// Trim deletes orphaned shards, to which neither the head nor its recent decisions
// refer, and returns how many it deleted. A shard is deleted by the second of two
// calls with a decision between them: the first call lists the orphaned shards,
// the second deletes those of the list that are still orphaned and unchanged.
//
// Trim never deletes a shard to which a later head may refer. A writer reads the
// head, writes shards and then updates that head. If it wrote a shard before the
// first call found it, it had read the head earlier still. The head has changed
// since, so the writer's update fails. If it wrote the shard after that, the
// revision has changed, so the conditional deletion fails.
func (t *Ticketer) Trim(ctx context.Context) (int, error) {
	shards, err := t.Store.List(ctx, ShardPrefix)
	if err != nil {
		return 0, err
	}
	// The head is read after the list, so that its revision is not older than the list.
	head, headRevision, err := t.loadHead(ctx)
	if err != nil {
		return 0, err
	}
	listed, listRevision, err := t.loadOrphans(ctx)
	if err != nil {
		return 0, err
	}
	unreferenced := head.unreferencedShards(shards)
	deleted := 0
	if listed.HeadRevision < headRevision {
		deleted = t.deleteOrphans(ctx, listed, unreferenced)
	}
	return deleted, t.saveOrphans(ctx, headRevision, unreferenced, listRevision)
}

// unreferencedShards returns the revisions, by key, of the shards to which neither
// the head nor its recent decisions refer.
func (h Head) unreferencedShards(shards []storer.Object) map[string]uint64 {
	unreferenced := make(map[string]uint64, len(shards))
	for _, s := range shards {
		unreferenced[s.Key] = s.Revision
	}
	for _, d := range h.Shards {
		delete(unreferenced, ShardKey(d))
	}
	for _, recent := range h.Recent {
		for _, d := range recent.Replaced {
			delete(unreferenced, ShardKey(d))
		}
	}
	return unreferenced
}

func (t *Ticketer) loadOrphans(ctx context.Context) (orphanList, uint64, error) {
	obj, err := t.get(ctx, TrimKey)
	if isNotFound(err) {
		return orphanList{}, 0, nil
	}
	if err != nil {
		return orphanList{}, 0, err
	}
	var listed orphanList
	if err := json.Unmarshal(obj.Value, &listed); err != nil {
		return orphanList{}, 0, &snapshotter.MalformedError{Subject: TrimKey, Cause: err}
	}
	return listed, obj.Revision, nil
}

// deleteOrphans deletes the listed shards that are still unreferenced and
// unchanged, and removes them from unreferenced. It returns how many it deleted.
func (t *Ticketer) deleteOrphans(ctx context.Context, listed orphanList, unreferenced map[string]uint64) int {
	isDeleted := make([]bool, len(listed.Shards))
	var deletions []func() error
	for i, orphan := range listed.Shards {
		if unreferenced[orphan.Key] != orphan.Revision {
			continue
		}
		deletions = append(deletions, func() error {
			isDeleted[i] = t.Store.Delete(ctx, orphan.Key, orphan.Revision) == nil
			return nil
		})
	}
	_ = t.runAll(deletions)
	deleted := 0
	for i, orphan := range listed.Shards {
		if isDeleted[i] {
			delete(unreferenced, orphan.Key)
			deleted++
		}
	}
	return deleted
}

// saveOrphans tries once to store the list. A conflict is not an error, because a
// concurrent trim has stored a list that serves as well.
func (t *Ticketer) saveOrphans(ctx context.Context, headRevision uint64, unreferenced map[string]uint64, listRevision uint64) error {
	list := orphanList{HeadRevision: headRevision}
	for key, rev := range unreferenced {
		list.Shards = append(list.Shards, orphanShard{Key: key, Revision: rev})
	}
	value, err := json.Marshal(list)
	if err != nil {
		return &snapshotter.MalformedError{Subject: TrimKey, Cause: err}
	}
	_, err = t.Store.Put(ctx, TrimKey, value, listRevision)
	if isConflict(err) {
		return nil
	}
	return err
}
