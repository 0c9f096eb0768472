// Command gentianctl files, approves, withdraws and reads back tickets, and
// shows what a node knows. "gentianctl help" lists
// its commands and exit codes.
package main

import (
	"context"
	"os"

	"gentianbarrow.example/internal/commander"
)

func main() {
	os.Exit(commander.New(os.Stdout, os.Stderr).Run(context.Background(), os.Args[1:]))
}
