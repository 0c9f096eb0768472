package elector

import (
	"context"
	"strings"

	"gentianbarrow.example/pkg/storer"
)

// leasePrefix begins the names of all lease objects.
const leasePrefix = "lease/"

// Holders reads who holds the relay slots of a data centre. Slots that are
// free, or whose object is malformed, are left out. Records may have lapsed.
func ReadHolders(ctx context.Context, client storer.Client, dataCentre string) ([]Record, error) {
	all, err := readLeases(ctx, client, dataCentre, DefaultSlots)
	if err != nil {
		return nil, err
	}
	var out []Record
	for _, seen := range all {
		if seen.held() {
			out = append(out, seen.Record)
		}
	}
	return out, nil
}

// AllHolders reads who holds the relay slots of every data centre, by data
// centre. It costs one call to list the leases and one for each of them.
func ReadAllHolders(ctx context.Context, client storer.Client) (map[string][]Record, error) {
	leases, err := client.List(ctx, leasePrefix)
	if err != nil {
		return nil, err
	}
	out := map[string][]Record{}
	for _, lease := range leases {
		seen, err := readLease(ctx, client, lease.Key)
		if err != nil {
			return nil, err
		}
		if dataCentre, ok := dataCentreOf(lease.Key); ok && seen.held() {
			out[dataCentre] = append(out[dataCentre], seen.Record)
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

// held tells that the object exists and names a holder, whose lease may have lapsed.
func (s Seen) held() bool { return s.Record.Host != "" }
