package elector

import (
	"context"
	"errors"

	"gentianbarrow.example/pkg/storer"
)

func readLeases(ctx context.Context, client storer.Client, dataCentre string, slots int) ([]Seen, error) {
	out := make([]Seen, slots)
	for i := range out {
		seen, err := readLease(ctx, client, Key(dataCentre, i))
		if err != nil {
			return nil, err
		}
		out[i] = seen
	}
	return out, nil
}

// readLease returns a lease without a record when it does not exist or is malformed.
func readLease(ctx context.Context, client storer.Client, key string) (Seen, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := client.Get(ctx, key)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return Seen{}, nil
	}
	if err != nil {
		return Seen{}, err
	}
	record, err := decodeRecord(key, obj.Value)
	var malformed *MalformedLeaseError
	if errors.As(err, &malformed) {
		return Seen{Revision: obj.Revision}, nil
	}
	return Seen{Record: record, Revision: obj.Revision}, err
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
