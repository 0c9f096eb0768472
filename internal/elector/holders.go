package elector

import (
	"context"
	"errors"

	"gentianbarrow.example/pkg/storer"
)

// Holders reads who holds the relay slots of a data centre. Slots that are
// free, or whose object is malformed, are left out. Records may have lapsed.
func Holders(ctx context.Context, client storer.Client, dataCentre string) ([]Record, error) {
	var out []Record
	for slot := range DefaultSlots {
		key := Key(dataCentre, slot)
		obj, err := client.Get(ctx, key)
		var missing *storer.NotFoundError
		if errors.As(err, &missing) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if r, err := decodeRecord(key, obj.Value); err == nil {
			out = append(out, r)
		}
	}
	return out, nil
}
