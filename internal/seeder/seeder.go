// Package seeder gives property tests a fixed seed, so that a run of the tests
// has the same verdict every time. A test package imports it for this effect:
//
//	import _ "gentianbarrow.example/internal/seeder"
//
// Another seed, or a random one with 0, is a flag of go test: -rapid.seed=N.
package seeder

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag before it is set
)

// Seed of property tests; any number but 0, which stands for a random one.
const Seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
}
