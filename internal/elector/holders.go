package elector

import (
	"context"
	"errors"
	"strings"

	"gentianbarrow.example/pkg/storer"
)

// leasePrefix begins the names of all lease objects.
const leasePrefix = "lease/"

// Holders reads who holds the relay slots of a data centre. Slots that are
// free, or whose object is malformed, are left out. Records may have lapsed.
func Holders(ctx context.Context, client storer.Client, dataCentre string) ([]Record, error) {
	var out []Record
	for slot := range DefaultSlots {
		r, held, err := readHolder(ctx, client, Key(dataCentre, slot))
		if err != nil {
			return nil, err
		}
		if held {
			out = append(out, r)
		}
	}
	return out, nil
}

// AllHolders reads who holds the relay slots of every data centre, by data
// centre. It costs one call to list the leases and one for each of them.
func AllHolders(ctx context.Context, client storer.Client) (map[string][]Record, error) {
	leases, err := client.List(ctx, leasePrefix)
	if err != nil {
		return nil, err
	}
	out := map[string][]Record{}
	for _, lease := range leases {
		r, held, err := readHolder(ctx, client, lease.Key)
		if err != nil {
			return nil, err
		}
		if dataCentre, ok := dataCentreOf(lease.Key); ok && held {
			out[dataCentre] = append(out[dataCentre], r)
		}
	}
	return out, nil
}

// dataCentreOf returns the data centre in the name of a lease object.
func dataCentreOf(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, leasePrefix)
	if !ok {
		return "", false
	}
	dataCentre, _, ok := strings.Cut(rest, "/")
	return dataCentre, ok
}

// readHolder reads one lease; false when it is free or malformed.
func readHolder(ctx context.Context, client storer.Client, key string) (Record, bool, error) {
	obj, err := client.Get(ctx, key)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	r, err := decodeRecord(key, obj.Value)
	return r, err == nil, nil //nolint:nilerr // a malformed lease counts as free
}
