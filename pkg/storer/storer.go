// Package storer is the seam to the platform's object API: versioned objects
// with conditional updates and watches. The rest of the system knows the
// platform only as a Client, a struct of functions, so that another object API
// replaces this package and nothing else.
//
//	obj, err := client.Get(ctx, "config/head")
//	obj, err = client.Put(ctx, "config/head", value, obj.Revision)
//
// A call that fails with *UnknownOutcomeError may have taken effect: the
// answer was lost. The caller settles it by reading back, never by repeating
// the write unseen.
package storer

import (
	"context"
	"time"
)

// AnyRevision passed to Watch asks for the object as it is now.
const AnyRevision uint64 = 0

// MaxValueBytes is the greatest value that the platform holds.
const MaxValueBytes = 1 << 20

// Object is a stored value with its revision.
type Object struct {
	Key string
	// Value is at most MaxValueBytes long.
	Value []byte
	// Revision grows with each write of this key, also across its deletion, and so
	// never repeats; 0 means that the object does not exist.
	Revision uint64
}

// Client is the platform's object API. Each call, and each waiting watch,
// counts against the platform's rates.
type Client struct {
	// Get returns the object, or *NotFoundError.
	Get func(ctx context.Context, key string) (Object, error)
	// Put writes the object if its revision is still the given one; revision 0
	// creates it. It returns *ConflictError when the revision differs and
	// *UnknownOutcomeError when the answer was lost.
	Put func(ctx context.Context, key string, value []byte, revision uint64) (Object, error)
	// Delete removes the object if its revision is still the given one.
	Delete func(ctx context.Context, key string, revision uint64) error
	// List returns the keys below a prefix, with revisions and without values, in key order.
	List func(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's revision is greater than the given one, and
	// returns it. It returns ctx.Err() when ctx ends first.
	Watch func(ctx context.Context, key string, after uint64) (Object, error)
	// Scan returns the objects whose keys are the kind, a slash and a name, with
	// their values and the revision of the store that they are read at. It is nil
	// when the platform at hand does not offer it.
	Scan func(ctx context.Context, kind string) (Changes, error)
	// Follow waits until objects of the kind have changed since a revision of the
	// store, at most for the given time. It returns no changes, and the revision that
	// it was given, when none came, and *CompactedError when the platform no longer
	// knows that far back. It is nil when Scan is.
	Follow func(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
}

// Changes are objects of one kind as a Scan or a Follow found them.
type Changes struct {
	// Objects that exist, with their values.
	Objects []Object
	// Removed are the keys of objects that no longer exist; empty after a Scan.
	Removed []string
	// Revision of the store to follow from.
	Revision uint64
}
