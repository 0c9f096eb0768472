package composer

import (
	"context"

	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/pkg/storer"
)

// findPeers returns the addresses of a data centre's relays as the platform knows them.
func findPeers(platform storer.Client, dataCentre string) func(context.Context) ([]string, error) {
	return func(ctx context.Context) ([]string, error) {
		records, err := elector.Holders(ctx, platform, dataCentre)
		if err != nil {
			return nil, err
		}
		var addresses []string
		for _, r := range records {
			addresses = append(addresses, r.Address)
		}
		return addresses, nil
	}
}
