// Command standin3 plays the cases of the third review: it starts nodes as separate
// processes on loopback, with stand-ins for the store, the instances and the clients.
//
//	standin3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds a case, with the end of its processes.
const maxRun = 100 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, m *mesh, trouble bool) (broken bool, err error){
	"unanswered-upload": playUnansweredUpload,
	"forgotten-leave":   playForgottenLeave,
	"ignored-leave":     playIgnoredLeave,
	"pipelined-answers": playPipelinedAnswers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	r, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	m, err := newMesh(r)
	if err != nil {
		r.note("the case could not run: %v", err)
		return exitNotRun
	}
	defer m.close()
	r.note("case %s, trouble %t", name, trouble)
	broken, err := cases[name](ctx, m, trouble)
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
