package composer

import (
	"context"

	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/pkg/storer"
)

// findPeers returns the addresses of a data centre's relays as the platform knows them.
func findPeers(platform storer.Client, dataCentre string) func(context.Context) ([]string, error) {
	return func(ctx context.Context) ([]string, error) {
		held, err := elector.ReadHolders(ctx, platform, dataCentre)
		return addresses(held), err
	}
}

// findRelays returns the addresses of the relays of all data centres as the platform knows them.
func findRelays(platform storer.Client) func(context.Context) (map[string][]string, error) {
	return func(ctx context.Context) (map[string][]string, error) {
		held, err := elector.ReadAllHolders(ctx, platform)
		if err != nil {
			return nil, err
		}
		relays := make(map[string][]string, len(held))
		for dataCentre, records := range held {
			relays[dataCentre] = addresses(records)
		}
		return relays, nil
	}
}

func addresses(held []elector.Record) []string {
	out := make([]string, 0, len(held))
	for _, r := range held {
		out = append(out, r.Address)
	}
	return out
}
