package elector

import (
	"context"
	"strings"

	"gentianbarrow.example/pkg/storer"
)

// leasePrefix is the prefix of the keys of all lease objects.
const leasePrefix = "lease/"

// ReadHolders returns the records of the relay slots of a data centre that have
// a holder. Slots whose object is missing or malformed are left out. The leases
// may have expired.
func ReadHolders(ctx context.Context, client storer.Client, dataCentre string) ([]Record, error) {
	all, err := readLeases(ctx, client, dataCentre, DefaultSlots)
	if err != nil {
		return nil, err
	}
	var out []Record
	for _, stored := range all {
		if stored.hasHolder() {
			out = append(out, stored.Record)
		}
	}
	return out, nil
}

// ReadAllHolders returns the records of the relay slots of every data centre,
// by data centre. It makes one call to list the leases and one for each of
// them.
func ReadAllHolders(ctx context.Context, client storer.Client) (map[string][]Record, error) {
	leases, err := client.List(ctx, leasePrefix)
	if err != nil {
		return nil, err
	}
	out := map[string][]Record{}
	for _, lease := range leases {
		stored, err := readLease(ctx, client, lease.Key)
		if err != nil {
			return nil, err
		}
		if dataCentre, ok := dataCentreFromKey(lease.Key); ok && stored.hasHolder() {
			out[dataCentre] = append(out[dataCentre], stored.Record)
		}
	}
	return out, nil
}

// dataCentreFromKey returns the data centre in the key of a lease object.
func dataCentreFromKey(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, leasePrefix)
	if !ok {
		return "", false
	}
	dataCentre, _, ok := strings.Cut(rest, "/")
	return dataCentre, ok
}

// hasHolder reports whether the object exists and names a holder, whose lease
// may have expired.
func (s StoredLease) hasHolder() bool { return s.Record.Host != "" }
