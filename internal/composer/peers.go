package composer

import (
	"context"

	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/pkg/storer"
)

// findPeers returns a function that reads the addresses of the relays of a data centre
// from the platform.
func findPeers(platform storer.Client, dataCentre string) func(context.Context) ([]string, error) {
	return func(ctx context.Context) ([]string, error) {
		holders, err := elector.ReadHolders(ctx, platform, dataCentre)
		return addresses(holders), err
	}
}

// findRelays returns a function that reads the addresses of the relays of all data
// centres from the platform.
func findRelays(platform storer.Client) func(context.Context) (map[string][]string, error) {
	return func(ctx context.Context) (map[string][]string, error) {
		holders, err := elector.ReadAllHolders(ctx, platform)
		if err != nil {
			return nil, err
		}
		relays := make(map[string][]string, len(holders))
		for dataCentre, records := range holders {
			relays[dataCentre] = addresses(records)
		}
		return relays, nil
	}
}

func addresses(records []elector.Record) []string {
	out := make([]string, 0, len(records))
	for _, r := range records {
		out = append(out, r.Address)
	}
	return out
}
