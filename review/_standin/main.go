// Command standin plays the cases of the review that need a script. It starts
// real nodes by the command of the deploy file, on loopback addresses, between
// an object store, instances and clients of its own, and checks one rule from
// what the clients and the instances see.
//
//	standin --scenario pipelined --node target/gentian-node --record record.txt --trouble 1
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the scenario
// could not be played.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playTimeout bounds a whole scenario.
const playTimeout = 100 * time.Second

// scenario plays one case and returns the violations of its rule.
type scenario func(ctx context.Context, m *mesh, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"pipelined": playPipelined,
	"dark":      playDark,
	"restart":   playRestart,
	"upload":    playUpload,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("scenario", "", "name of the scenario")
	node := flag.String("node", "target/gentian-node", "program of the node")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Int("trouble", 1, "0 plays the scenario without its disruption")
	flag.Parse()
	scene, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario:", *name)
		return exitFailed
	}
	log, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.close()
	signalled, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(signalled, playTimeout)
	defer cancel()
	m, err := newMesh(ctx, *node, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer m.close()
	broken, err := scene(ctx, m, *trouble != 0)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		log.printf("the scenario could not be played: %v", err)
		fmt.Fprintln(os.Stderr, "the scenario could not be played:", err)
		return exitFailed
	}
	for _, line := range broken {
		log.printf("BROKEN %s", line)
	}
	if len(broken) > 0 {
		fmt.Printf("broken: %s\n", broken[0])
		return exitBroken
	}
	log.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
