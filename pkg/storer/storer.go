// Package storer is the interface to the platform's object API: versioned
// objects with conditional updates and watches. The rest of the system uses the
// platform only through a Client, a struct of functions, so that a change of
// object API affects nothing else.
//
//	obj, err := client.Get(ctx, "config/head")
//	obj, err = client.Put(ctx, "config/head", value, obj.Revision)
//
// A call that fails with *UnknownOutcomeError may have taken effect, because the
// answer was lost. The caller must read the object back to find out, and must
// not repeat the write blindly.
package storer

import (
	"context"
	"time"
)

// AnyRevision makes Watch return the object as it is now, or as soon as it exists.
const AnyRevision uint64 = 0

// MaxValueBytes is the maximum size of a value, in bytes.
const MaxValueBytes = 1 << 20

// Object is a stored value with its revision.
type Object struct {
	Key string
	// Value is at most MaxValueBytes long. It is nil in the answer to List.
	Value []byte
	// Revision grows with each write of this key, across deletions as well, so it
	// never repeats; 0 means that the object does not exist.
	Revision uint64
}

// Client calls the platform's object API. Each call, watches included, counts
// against the platform's rate limits. Every call returns *UnavailableError when
// it fails without effect.
type Client struct {
	// Get returns the object, or *NotFoundError.
	Get func(ctx context.Context, key string) (Object, error)
	// Put writes the object if its revision is still the given one; revision 0
	// creates it. It returns *ConflictError when the revision differs,
	// *TooLargeError when the value is larger than MaxValueBytes, and
	// *UnknownOutcomeError when the answer was lost.
	Put func(ctx context.Context, key string, value []byte, revision uint64) (Object, error)
	// Delete removes the object if its revision is still the given one. It returns
	// *NotFoundError when there is none, *ConflictError when the revision differs,
	// and *UnknownOutcomeError when the answer was lost.
	Delete func(ctx context.Context, key string, revision uint64) error
	// List returns the objects whose keys begin with a prefix, with revisions and
	// without values, in key order.
	List func(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's revision is greater than the given one, and
	// returns it. It returns ctx.Err() when ctx ends first.
	Watch func(ctx context.Context, key string, after uint64) (Object, error)
	// Scan returns the objects whose keys are the kind, a slash and a name, with
	// their values and the revision of the store at which they were read. It is
	// nil when the platform does not offer it.
	Scan func(ctx context.Context, kind string) (Changes, error)
	// Follow waits until objects of the kind have changed since a revision of the
	// store, at most for the given time, and returns the changes. When nothing has
	// changed by then it returns no changes and the revision that it was given. It
	// returns *CompactedError when the platform no longer has the history since
	// that revision. It is nil when Scan is.
	Follow func(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
}

// Changes is the answer to a Scan or a Follow of one kind.
type Changes struct {
	// Objects are the objects that exist, with their values.
	Objects []Object
	// Removed are the keys of objects that no longer exist; empty after a Scan.
	Removed []string
	// Revision is the revision of the store to follow from.
	Revision uint64
	// Era grows each time the platform has been restored from a copy, which takes back
	// what was acknowledged after the copy was made. Revisions of different eras cannot
	// be compared: they are given out again. 0 when the platform does not tell.
	Era uint64
}
