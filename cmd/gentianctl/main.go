// Command gentianctl files, approves, withdraws and reads back tickets, and
// shows what a node knows. Run it without arguments for its commands and exit codes.
package main

import (
	"context"
	"os"

	"gentianbarrow.example/internal/commander"
)

func main() {
	os.Exit(commander.New(os.Stdout, os.Stderr).Run(context.Background(), os.Args[1:]))
}
