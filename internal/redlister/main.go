// Command redlister reads the output of "go test -json" and decides whether
// the run passes: each failed test must be listed in the known-red file, and
// each listed test must have failed.
//
// A line of the file that begins with "red:" names a package and a test:
//
//	red: gentianbarrow.example/internal/encoder TestRead/truncated
//
// Other lines explain it to people.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

// event is the part of a line of "go test -json" that matters here.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	ImportPath  string
	FailedBuild string
}

// testName names a test as package and test, with an empty test for the package itself.
type testName struct{ Package, Test string }

// verdict is what a run came to.
type verdict struct {
	passed, skipped int
	failed          []testName
	known           []testName
	listedButPassed []testName
	output          map[testName][]string
	brokenBuild     bool
}

func main() {
	knownPath := flag.String("known", "KNOWN-RED.txt", "file that lists the known failures")
	status := flag.Int("status", 0, "exit status of go test")
	flag.Parse()
	known, err := readKnown(*knownPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	v, err := judge(os.Stdin, known)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(report(os.Stdout, v, *status))
}

func readKnown(path string) (map[testName]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := map[testName]bool{}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(strings.TrimSpace(line), "red:")
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) != 2 {
			return nil, &malformedEntryError{Line: strings.TrimSpace(line)}
		}
		known[testName{Package: fields[0], Test: fields[1]}] = true
	}
	return known, nil
}

// malformedEntryError tells that a line of the known-red file does not name a package and a test.
type malformedEntryError struct{ Line string }

func (e *malformedEntryError) Error() string {
	return fmt.Sprintf("known-red entry %q does not name a package and a test", e.Line)
}

func judge(r io.Reader, known map[testName]bool) (verdict, error) {
	v := verdict{output: map[testName][]string{}}
	failed := map[testName]bool{}
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var e event
		if err := dec.Decode(&e); err == io.EOF {
			break
		} else if err != nil {
			return v, err
		}
		v.take(e, failed)
	}
	v.sortFailures(failed, known)
	return v, nil
}

func (v *verdict) take(e event, failed map[testName]bool) {
	name := testName{Package: e.Package, Test: e.Test}
	switch e.Action {
	case "output", "build-output":
		v.output[name] = append(v.output[name], e.Output)
	case "pass":
		if e.Test != "" {
			v.passed++
		}
	case "skip":
		if e.Test != "" {
			v.skipped++
		}
	case "build-fail":
		v.brokenBuild = true
	case "fail":
		failed[name] = true
	}
}

// sortFailures separates known from new failures. A parent test or a package
// fails with its parts, so it is known when a listed part of it failed and no
// other part did.
func (v *verdict) sortFailures(failed, known map[testName]bool) {
	for name := range failed {
		switch {
		case known[name]:
			v.known = append(v.known, name)
		case hasFailedPart(name, failed):
		default:
			v.failed = append(v.failed, name)
		}
	}
	for name := range known {
		if !failed[name] {
			v.listedButPassed = append(v.listedButPassed, name)
		}
	}
	for _, names := range [][]testName{v.failed, v.known, v.listedButPassed} {
		sort.Slice(names, func(i, j int) bool { return names[i].String() < names[j].String() })
	}
}

func hasFailedPart(name testName, failed map[testName]bool) bool {
	for other := range failed {
		if other.Package != name.Package || other.Test == name.Test {
			continue
		}
		if name.Test == "" || strings.HasPrefix(other.Test, name.Test+"/") {
			return true
		}
	}
	return false
}

// String returns the name as the known-red file writes it.
func (n testName) String() string { return n.Package + " " + n.Test }

func report(w io.Writer, v verdict, status int) int {
	for _, name := range v.failed {
		fmt.Fprintf(w, "FAILED %s\n%s", name, strings.Join(v.output[name], ""))
	}
	for _, name := range v.known {
		fmt.Fprintf(w, "known red: %s\n", name)
	}
	for _, name := range v.listedButPassed {
		fmt.Fprintf(w, "LISTED AS RED BUT DID NOT FAIL: %s\n", name)
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", v.passed, len(v.failed)+len(v.known), v.skipped)
	if v.brokenBuild || len(v.failed) > 0 || len(v.listedButPassed) > 0 {
		for name, lines := range v.output {
			if v.brokenBuild && name.Test == "" {
				fmt.Fprint(w, strings.Join(lines, ""))
			}
		}
		return 1
	}
	if status != 0 && len(v.known) == 0 {
		fmt.Fprintf(w, "go test exited with %d and named no failed test\n", status)
		return 1
	}
	if v.passed == 0 {
		fmt.Fprintln(w, "no test ran")
		return 1
	}
	return 0
}
