package receiver

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianbarrow.example/internal/seeder"
	"gentianbarrow.example/pkg/snapshotter"
)

// TestSplitKeepsWeights checks that each service gets exactly its weight in
// requests out of each sequence as long as the sum of the weights.
func TestSplitKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares []snapshotter.Share
		total := 0
		for i := range rapid.IntRange(1, 4).Draw(t, "services") {
			w := rapid.IntRange(1, 30).Draw(t, "weight")
			total += w
			shares = append(shares, snapshotter.Share{Service: string(rune('a' + i)), Weight: w})
		}
		s := newSplit(shares, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		got := map[string]int{}
		for range 3 * total {
			got[s.next()]++
		}
		for _, share := range shares {
			if got[share.Service] != 3*share.Weight {
				t.Fatalf("%s got %d of %d requests, not %d", share.Service, got[share.Service], 3*total, 3*share.Weight)
			}
		}
	})
}

func TestSplitFollowsTheConfiguration(t *testing.T) {
	rc := New(Config{Seed: 1})
	route := snapshotter.Route{Name: "r", Service: "a", Split: []snapshotter.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	got := map[string]int{}
	for range 10 {
		got[rc.serviceOf(&route)]++
	}
	assert.Equal(t, got["b"], 5)
	route.Split = []snapshotter.Share{{Service: "c", Weight: 1}}
	assert.Equal(t, rc.serviceOf(&route), "c")
	route.Split = nil
	assert.Equal(t, rc.serviceOf(&route), "a")
}
