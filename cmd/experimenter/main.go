// Command experimenter prints the measurements of the request path's decisions
// as tables, each beside its baselines with the same seed:
//
//	go run ./cmd/experimenter -experiment slow-target -seed 1
package main

import (
	"flag"
	"fmt"
	"os"

	"gentianbarrow.example/internal/experimenter"
)

func main() {
	name := flag.String("experiment", "", "experiment to run; empty means all")
	seed := flag.Uint64("seed", 1, "seed of all randomness")
	flag.Parse()
	if !experimenter.Print(os.Stdout, *name, *seed) {
		fmt.Fprintf(os.Stderr, "no experiment is named %q\n", *name)
		os.Exit(2)
	}
}
