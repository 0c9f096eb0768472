package elector

import (
	"context"
	"errors"

	"gentianbarrow.example/pkg/storer"
)

func (e *Elector) readLeases(ctx context.Context) ([]Seen, error) {
	out := make([]Seen, e.Slots)
	for i := range out {
		seen, err := e.readLease(ctx, Key(e.DataCentre, i))
		if err != nil {
			return nil, err
		}
		out[i] = seen
	}
	return out, nil
}

func (e *Elector) readLease(ctx context.Context, key string) (Seen, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := e.Client.Get(ctx, key)
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
