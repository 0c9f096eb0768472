// Command surveyor measures a fleet of nodes that run as processes on this
// machine. It starts and ends none: scripts/measure-fleet.sh does.
//
//	surveyor -step survey -nodes FILE -platform URL -services 3600 -seconds 20
//	surveyor -step restart -nodes FILE -platform URL -begun UNIX-MILLISECONDS
//
// FILE has a line "HOST PID ADMIN-ADDRESS" for each node.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

const stepTimeout = 8 * time.Minute

type flags struct {
	step, nodes, platform, dataCentre string
	services                          int
	seconds                           int
	begun                             int64
	before                            string
}

func parse() flags {
	var f flags
	flag.StringVar(&f.step, "step", "survey", "survey or restart")
	flag.StringVar(&f.nodes, "nodes", "", "file with a line HOST PID ADMIN-ADDRESS for each node")
	flag.StringVar(&f.platform, "platform", "", "URL of the platform stand-in")
	flag.StringVar(&f.dataCentre, "data-centre", "", "data centre of the nodes")
	flag.IntVar(&f.services, "services", 3600, "services to configure, each with two routes")
	flag.IntVar(&f.seconds, "seconds", 20, "length of each window in seconds")
	flag.Int64Var(&f.begun, "begun", 0, "when the restart began, in Unix milliseconds")
	flag.StringVar(&f.before, "before", "", "file with the platform's counts before the restart")
	flag.Parse()
	return f
}

func main() {
	f := parse()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1) //nolint:gocritic // nothing is left to cancel
	}
}

func run(ctx context.Context, f flags) error {
	fleet, err := readFleet(f)
	if err != nil {
		return err
	}
	if f.step == "restart" {
		return fleet.restart(ctx, f)
	}
	return fleet.survey(ctx, f)
}
