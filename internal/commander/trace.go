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
	// traceBefore and traceAfter extend the time of a request's lines to that for which node events are
	// shown: a node's view of the others may be seconds old when it decides on a request.
	traceBefore, traceAfter = 5 * time.Second, 1 * time.Second
	// maxLineBytes limits the length of a log line. Stack traces of panics are the longest lines.
	maxLineBytes = 1 << 20
	// firstNodeEvent and lastNodeEvent delimit the event numbers on the state of a node and its view of
	// others, firstDrainEvent and lastDrainEvent those on its drain.
	firstNodeEvent, lastNodeEvent   = "GB0100", "GB0399"
	firstDrainEvent, lastDrainEvent = "GB0400", "GB0402"
)

// LogLine is one event in the log of a node.
type LogLine struct {
	Time        time.Time `json:"time"`
	Host        string    `json:"host"`
	Event       string    `json:"event"`
	Name        string    `json:"msg"`
	RequestID   string    `json:"request-id,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	Route       string    `json:"route,omitempty"`
	Service     string    `json:"service,omitempty"`
	Firm        string    `json:"firm,omitempty"`
	Version     uint64    `json:"version,omitempty"`
	DurationMs  int64     `json:"ms,omitempty"`
	RemainingMs int64     `json:"ms-left,omitempty"`
	Attempts    string    `json:"attempts,omitempty"`
	Load        string    `json:"load,omitempty"`
	Target      string    `json:"target,omitempty"`
	PeerHost    string    `json:"peer-host,omitempty"`
	Error       string    `json:"error,omitempty"`
}

// LogError reports that a log cannot be read.
type LogError struct {
	Path  string
	Cause error
}

func (e *LogError) Error() string { return fmt.Sprintf("log %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Cause }

// NotInLogsError reports that no log line names a request.
type NotInLogsError struct{ RequestID, Path string }

func (e *NotInLogsError) Error() string {
	return fmt.Sprintf("no line of %s names the request %q", e.Path, e.RequestID)
}

// traceOutput is the output of "trace".
type traceOutput struct {
	RequestID string `json:"request-id"`
	// Lines are the log lines on the request, of all nodes, in order of time.
	Lines []LogLine `json:"lines"`
	// Hosts are the hosts that logged the request or that its attempts name.
	Hosts []string `json:"hosts"`
	// NodeEvents are the events on the state of these hosts around that time.
	NodeEvents []LogLine `json:"around"`
}

func traceRequest(_ context.Context, c invocation) error {
	if c.logs == "" {
		return &UsageError{Message: "--logs is missing"}
	}
	all, err := readLogs(c.logs)
	if err != nil {
		return err
	}
	output := traceOutput{RequestID: c.args[0], NodeEvents: []LogLine{}}
	for _, l := range all {
		if l.RequestID == output.RequestID {
			output.Lines = append(output.Lines, l)
		}
	}
	if len(output.Lines) == 0 {
		return &NotInLogsError{RequestID: output.RequestID, Path: c.logs}
	}
	output.Hosts = involvedHosts(output.Lines, all)
	from, to := output.Lines[0].Time.Add(-traceBefore), output.Lines[len(output.Lines)-1].Time.Add(traceAfter)
	for _, l := range all {
		if l.isNodeEvent() && slices.Contains(output.Hosts, l.Host) && !l.Time.Before(from) && !l.Time.After(to) {
			output.NodeEvents = append(output.NodeEvents, l)
		}
	}
	return c.print(output, output.write)
}

// isNodeEvent reports whether an event is on the state of a node, not on a request.
func (l *LogLine) isNodeEvent() bool {
	return l.Event >= firstNodeEvent && l.Event <= lastNodeEvent || l.Event >= firstDrainEvent && l.Event <= lastDrainEvent
}

// involvedHosts returns the hosts that wrote the lines, and those in the logs that the lines' attempts name.
func involvedHosts(lines, all []LogLine) []string {
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
	sorted := make([]string, 0, len(hosts))
	for host := range hosts {
		sorted = append(sorted, host)
	}
	slices.Sort(sorted)
	return sorted
}

func (o traceOutput) write(w io.Writer) {
	fmt.Fprintf(w, "request %s, on %s\n", o.RequestID, strings.Join(o.Hosts, ", "))
	for _, l := range o.Lines {
		fmt.Fprintf(w, "  %s %s %s %s%s\n", l.formatTime(), l.Host, l.Event, l.Name, l.details())
		if l.Attempts == "" {
			continue
		}
		for attempt := range strings.SplitSeq(l.Attempts, "; ") {
			fmt.Fprintf(w, "    %s\n", attempt)
		}
	}
	fmt.Fprintf(w, "events of these hosts from %s before to %s after:\n", traceBefore, traceAfter)
	for _, l := range o.NodeEvents {
		fmt.Fprintf(w, "  %s %s %s %s%s\n", l.formatTime(), l.Host, l.Event, l.Name, l.details())
	}
	if len(o.NodeEvents) == 0 {
		fmt.Fprintln(w, "  none")
	}
}

func (l *LogLine) formatTime() string { return l.Time.UTC().Format("15:04:05.000") }

func (l *LogLine) details() string {
	var b strings.Builder
	for _, field := range []struct{ name, value string }{
		{"", l.Reason},
		{"route ", l.Route},
		{"service ", l.Service},
		{"firm ", l.Firm},
		{"target ", l.Target},
		{"node ", l.PeerHost},
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
	case l.DurationMs != 0:
		fmt.Fprintf(&b, ", after %d ms of %d ms", l.DurationMs, l.RemainingMs)
	case l.RemainingMs != 0:
		fmt.Fprintf(&b, ", %d ms left", l.RemainingMs)
	}
	return b.String()
}

// readLogs reads a file, or all files of a folder, and returns the events in order of time. It skips lines
// that are not events, because other programs may write to the same log.
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
		// Log collectors may put a time or a host name before the event.
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
