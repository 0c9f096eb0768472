package elector

import (
	"context"
	"errors"

	"gentianbarrow.example/pkg/storer"
)

func readLeases(ctx context.Context, client storer.Client, dataCentre string, slots int) ([]StoredLease, error) {
	out := make([]StoredLease, slots)
	for i := range out {
		stored, err := readLease(ctx, client, Key(dataCentre, i))
		if err != nil {
			return nil, err
		}
		out[i] = stored
	}
	return out, nil
}

// readLease reads a lease object. The result has an empty Record if the object
// does not exist or is malformed.
func readLease(ctx context.Context, client storer.Client, key string) (StoredLease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := client.Get(ctx, key)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return StoredLease{}, nil
	}
	if err != nil {
		return StoredLease{}, err
	}
	record, err := decodeRecord(key, obj.Value)
	var malformed *MalformedLeaseError
	if errors.As(err, &malformed) {
		return StoredLease{Revision: obj.Revision}, nil
	}
	return StoredLease{Record: record, Revision: obj.Revision}, err
}

func (e *Elector) writeLease(ctx context.Context, w WriteLease) (storer.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := encodeRecord(w.Record)
	if err != nil {
		return storer.Object{}, err
	}
	return e.Client.Put(ctx, Key(e.DataCentre, w.Record.Slot), value, w.Revision)
}
