// Command review-2 plays the cases of the second review that are no days of the users' bench.
// It starts nodes as separate processes on loopback addresses, with stand-ins of the platform's
// store, of instances and of clients.
//
//	review-2 -case NAME -dir FOLDER
//
// It ends with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	// count is how often the rule was broken, where a case has several rounds.
	count int
	text  string
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) note(format string, args ...any) {
	r.noteAt(time.Now(), format, args...)
}

func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// env is what a case is played with.
type env struct {
	mesh    *mesh
	record  *record
	trouble bool
}

var cases = map[string]func(e *env) (verdict, error){
	"broken-answer":    playBrokenAnswer,
	"leave-restart":    playLeaveRestart,
	"cut-watchers":     playCutWatchers,
	"leave-store-away": playLeaveStoreAway,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	keep := flag.Bool("keep", false, "keep the logs of the nodes")
	flag.Parse()
	os.Exit(play(*name, *dir, *keep))
}

func play(name, dir string, keep bool) int {
	run := cases[name]
	if run == nil || dir == "" {
		flag.Usage()
		return exitCannotRun
	}
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return cannotRun(err)
	}
	if keep {
		fmt.Println("logs:", temp)
	} else {
		defer os.RemoveAll(temp) //nolint:errcheck // nothing follows
	}
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return cannotRun(err)
	}
	defer file.Close() //nolint:errcheck // nothing follows
	m, err := newMesh(temp)
	if err != nil {
		return cannotRun(err)
	}
	defer m.close()
	e := &env{mesh: m, record: &record{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	v, err := run(e)
	if err != nil {
		return cannotRun(err)
	}
	e.record.note("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitCannotRun
}
