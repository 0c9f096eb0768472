package elector

import (
	"context"

	"gentianbarrow.example/pkg/storer"
)

// Holders reads who holds the relay slots of a data centre. Slots that are
// free, or whose object is malformed, are left out. Records may have lapsed.
func Holders(ctx context.Context, client storer.Client, dataCentre string) ([]Record, error) {
	all, err := readLeases(ctx, client, dataCentre, DefaultSlots)
	if err != nil {
		return nil, err
	}
	var out []Record
	for _, seen := range all {
		if seen.Record.Host != "" {
			out = append(out, seen.Record)
		}
	}
	return out, nil
}
