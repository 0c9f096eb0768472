package follower

import (
	"context"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

const (
	platformTimeout = 3 * time.Second
	// watchTimeout bounds one watch, so that a dead connection to the platform is
	// noticed.
	watchTimeout = 30 * time.Second
)

// Head is the head object with its revision.
type Head struct {
	ticketer.Head
	Revision uint64
}

// Platform holds the calls that the follower makes to the platform.
type Platform struct {
	// Read returns the current head.
	Read func(ctx context.Context) (Head, error)
	// Watch waits for a head with a revision greater than after. If none appears
	// within a time limit, it returns a Head that has only the revision after.
	Watch func(ctx context.Context, after uint64) (Head, error)
	// Load returns the snapshot of a head, verified by its digest. It reads only
	// the shards that differ from have.
	Load func(ctx context.Context, h Head, have *snapshotter.Snapshot) (*snapshotter.Snapshot, error)
	// WriteStatus stores how many nodes of the data centre run each version.
	WriteStatus func(ctx context.Context, s ticketer.DataCentreStatus) error
}

// NewPlatform returns calls that use the platform's object store.
func NewPlatform(client storer.Client) Platform {
	return Platform{
		Read: func(ctx context.Context) (Head, error) {
			h, revision, err := ticketer.LoadHead(ctx, client)
			return Head{Head: h, Revision: revision}, err
		},
		Watch: func(ctx context.Context, after uint64) (Head, error) { return watchHead(ctx, client, after) },
		Load: func(ctx context.Context, h Head, have *snapshotter.Snapshot) (*snapshotter.Snapshot, error) {
			return ticketer.LoadSnapshot(ctx, client, h.Head, have)
		},
		WriteStatus: func(ctx context.Context, s ticketer.DataCentreStatus) error {
			return ticketer.WriteStatus(ctx, client, s)
		},
	}
}

func watchHead(ctx context.Context, client storer.Client, after uint64) (Head, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	obj, err := client.Watch(watchCtx, ticketer.HeadKey, after)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return Head{Revision: after}, nil
	}
	if err != nil {
		return Head{}, err
	}
	h, err := ticketer.DecodeHead(obj.Value)
	return Head{Head: h, Revision: obj.Revision}, err
}
