package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// traceBefore and traceAfter a request's lines, changes on the hosts that it touched are shown: what
	// a node believed then is seconds old.
	traceBefore, traceAfter = 5 * time.Second, 1 * time.Second
	// maxLineBytes bounds a line of a log: stacks of a panic are the longest.
	maxLineBytes = 1 << 20
	// firstBelief and lastBelief enclose the numbers of events that tell what a node does and believes,
	// firstStop and lastStop those of its stop.
	firstBelief, lastBelief = "GB0100", "GB0399"
	firstStop, lastStop     = "GB0400", "GB0402"
)

// LogLine is one event of a node, as its log has it.
type LogLine struct {
	Time       time.Time `json:"time"`
	Host       string    `json:"host"`
	Event      string    `json:"event"`
	Name       string    `json:"msg"`
	RequestID  string    `json:"request-id,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	Route      string    `json:"route,omitempty"`
	Service    string    `json:"service,omitempty"`
	Version    uint64    `json:"version,omitempty"`
	Millis     int64     `json:"ms,omitempty"`
	LeftMillis int64     `json:"ms-left,omitempty"`
	Attempts   string    `json:"attempts,omitempty"`
	Load       string    `json:"load,omitempty"`
	Target     string    `json:"target,omitempty"`
	Peer       string    `json:"peer-host,omitempty"`
	Error      string    `json:"error,omitempty"`
}

// LogError tells that a log can't be read.
type LogError struct {
	Path  string
	Cause error
}

func (e *LogError) Error() string { return fmt.Sprintf("log %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Cause }

// NotInLogsError tells that no line of the logs names a request.
type NotInLogsError struct{ RequestID, Path string }

func (e *NotInLogsError) Error() string {
	return fmt.Sprintf("no line of %s names the request %q", e.Path, e.RequestID)
}

// traceAnswer is the answer of "trace".
type traceAnswer struct {
	RequestID string `json:"request-id"`
	// Lines of the request, on every node that it reached.
	Lines []LogLine `json:"lines"`
	// Hosts that the request was sent to or that decided on it.
	Hosts []string `json:"hosts"`
	// Around are changes on those hosts at the time.
	Around []LogLine `json:"around"`
}

func trace(_ context.Context, c call) error {
	if c.logs == "" {
		return &UsageError{Text: "--logs is missing"}
	}
	all, err := readLogs(c.logs)
	if err != nil {
		return err
	}
	answer := traceAnswer{RequestID: c.args[0], Around: []LogLine{}}
	for _, l := range all {
		if l.RequestID == answer.RequestID {
			answer.Lines = append(answer.Lines, l)
		}
	}
	if len(answer.Lines) == 0 {
		return &NotInLogsError{RequestID: answer.RequestID, Path: c.logs}
	}
	answer.Hosts = touched(answer.Lines, all)
	first, last := answer.Lines[0].Time.Add(-traceBefore), answer.Lines[len(answer.Lines)-1].Time.Add(traceAfter)
	for _, l := range all {
		if l.belief() && slices.Contains(answer.Hosts, l.Host) && !l.Time.Before(first) && !l.Time.After(last) {
			answer.Around = append(answer.Around, l)
		}
	}
	return c.answer(answer, answer.write)
}

// belief tells that a line is on what the node does or believes, not on a request.
func (l *LogLine) belief() bool {
	return l.Event >= firstBelief && l.Event <= lastBelief || l.Event >= firstStop && l.Event <= lastStop
}

// touched returns the hosts that wrote the lines, and those that their attempts name.
func touched(lines, all []LogLine) []string {
	known := map[string]bool{}
	for _, l := range all {
		known[l.Host] = true
	}
	hosts := map[string]bool{}
	for _, l := range lines {
		hosts[l.Host] = true
		for attempt := range strings.SplitSeq(l.Attempts, "; ") {
			if host, _, _ := strings.Cut(attempt, " "); known[host] {
				hosts[host] = true
			}
		}
	}
	out := make([]string, 0, len(hosts))
	for host := range hosts {
		out = append(out, host)
	}
	slices.Sort(out)
	return out
}

func (a traceAnswer) write(w io.Writer) {
	fmt.Fprintf(w, "request %s, on %s\n", a.RequestID, strings.Join(a.Hosts, ", "))
	for _, l := range a.Lines {
		fmt.Fprintf(w, "  %s %s %s %s%s\n", l.clock(), l.Host, l.Event, l.Name, l.details())
		if l.Attempts == "" {
			continue
		}
		for attempt := range strings.SplitSeq(l.Attempts, "; ") {
			fmt.Fprintf(w, "    %s\n", attempt)
		}
	}
	fmt.Fprintf(w, "on these hosts from %s before to %s after:\n", traceBefore, traceAfter)
	for _, l := range a.Around {
		fmt.Fprintf(w, "  %s %s %s %s%s\n", l.clock(), l.Host, l.Event, l.Name, l.details())
	}
	if len(a.Around) == 0 {
		fmt.Fprintln(w, "  nothing changed")
	}
}

func (l *LogLine) clock() string { return l.Time.UTC().Format("15:04:05.000") }

func (l *LogLine) details() string {
	var b strings.Builder
	for _, field := range []struct{ name, value string }{
		{"", l.Reason},
		{"route ", l.Route},
		{"service ", l.Service},
		{"target ", l.Target},
		{"node ", l.Peer},
		{"load ", l.Load},
		{"error ", l.Error},
	} {
		if field.value != "" {
			b.WriteString(", " + field.name + field.value)
		}
	}
	if l.Version != 0 {
		fmt.Fprintf(&b, ", version %d", l.Version)
	}
	switch {
	case l.Millis != 0:
		fmt.Fprintf(&b, ", after %d ms of %d ms", l.Millis, l.LeftMillis)
	case l.LeftMillis != 0:
		fmt.Fprintf(&b, ", %d ms left", l.LeftMillis)
	}
	return b.String()
}

// readLogs reads a file, or all files of a folder, and returns the events in the order of time. Lines that
// are no events are passed over: a log may hold what others print.
func readLogs(path string) ([]LogLine, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &LogError{Path: path, Cause: err}
	}
	paths := []string{path}
	if info.IsDir() {
		if paths, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return nil, &LogError{Path: path, Cause: err}
		}
	}
	var all []LogLine
	for _, p := range paths {
		lines, err := readLog(p)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	return all, nil
}

func readLog(path string) ([]LogLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &LogError{Path: path, Cause: err}
	}
	defer f.Close() //nolint:errcheck // only read
	var lines []LogLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		// Collectors put a time or a name before the event.
		_, event, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		var l LogLine
		if found && json.Unmarshal(append([]byte("{"), event...), &l) == nil && l.Event != "" {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &LogError{Path: path, Cause: err}
	}
	return lines, nil
}
