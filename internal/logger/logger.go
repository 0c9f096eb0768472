// Package logger writes numbered log events. The catalogue of this package lists
// all events. docs/EVENTS.md is generated from it, so that operators can look up the
// meaning of an event and the action to take.
//
//	log.Write(logger.ConfigApplied, logger.Fields{Version: 7})
package logger

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Level is the severity of an event.
type Level string

// The levels of events.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is the format of the log.
type Format string

// The formats of the log.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Event is an entry of the catalogue.
type Event struct {
	// Number is unique. The number of a removed event is not reused.
	Number int
	// Name is in kebab case.
	Name  string
	Level Level
	// Meaning and Action are complete sentences for operators.
	Meaning string
	Action  string
}

// Fields holds the details of one event. Empty fields are omitted.
type Fields struct {
	Ticket  uint64
	Version uint64
	// PreviousVersion is the version that Version replaces.
	PreviousVersion uint64
	RequestID       string
	DataCentre      string
	Host            string
	Peer            string
	Service         string
	Route           string
	Firm            string
	Class           string
	Reason          string
	// Target is the ID of the target's process.
	Target string
	// Attempts lists where a request was sent, why, and with which outcome.
	Attempts string
	// Load describes the load at the time when a request was refused.
	Load string
	// Stack is the stack trace of a panic.
	Stack string
	// DurationMillis is how long a request took. RemainingMillis is the time that was
	// left until its deadline when it arrived; both are written only if it is set.
	DurationMillis  int64
	RemainingMillis int64
	// UnreadMillis is for how long a request had arrived, or was under way from another
	// node, when it was read. NodeLateMillis is how late the node ran then.
	UnreadMillis   int64
	NodeLateMillis int64
	Count          int
	// Parent is the id of the request whose run made a call.
	Parent string
	// IsCall is set if a run at a target waits for the answer.
	IsCall bool
	Err    error
}

// Logger writes events. The zero value writes nothing.
type Logger struct {
	entry *logrus.Entry
	// failures and successes limit the rate of lines about requests.
	failures, successes *rate.Limiter
	// suppressed counts the lines about requests that were left out since the last report.
	suppressed atomic.Int64
}

// Limits on the rate of lines about requests. Failures have a higher limit of their
// own, since they are what is searched for afterwards.
const (
	failureLinesPerSecond = 200
	successLinesPerSecond = 40
)

// timeFormat includes milliseconds, because the lines about one request on several
// nodes are only a few milliseconds apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of at least the given level to w. Each
// event carries the host and the data centre.
func New(w io.Writer, format Format, level Level, host, dataCentre string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(logrusLevel(level))
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	if format == FormatJSON {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	}
	return &Logger{
		entry:    l.WithFields(logrus.Fields{"host": host, "data-centre": dataCentre}),
		failures: rate.NewLimiter(failureLinesPerSecond, failureLinesPerSecond), successes: rate.NewLimiter(successLinesPerSecond, successLinesPerSecond),
	}
}

// WriteRequest writes an event about a request unless its rate limit is exceeded.
// Events of LevelInfo count as successes, others as failures. The number of lines
// that were left out is written before the next one.
func (l *Logger) WriteRequest(e Event, f Fields) {
	if l == nil || l.entry == nil {
		return
	}
	limiter := l.failures
	if e.Level == LevelInfo {
		limiter = l.successes
	}
	if !limiter.Allow() {
		l.suppressed.Add(1)
		return
	}
	if n := l.suppressed.Swap(0); n > 0 {
		l.Write(RequestLinesSuppressed, Fields{Count: int(n)})
	}
	l.Write(e, f)
}

// Write writes one event.
func (l *Logger) Write(e Event, f Fields) {
	if l == nil || l.entry == nil {
		return
	}
	l.entry.WithFields(f.entries(e)).Log(logrusLevel(e.Level), e.Name)
}

func (f Fields) entries(e Event) logrus.Fields {
	out := logrus.Fields{"event": fmt.Sprintf("GB%04d", e.Number)}
	texts := []struct{ key, value string }{
		{"request-id", f.RequestID},
		{"parent", f.Parent},
		{"peer-data-centre", f.DataCentre},
		{"peer-host", f.Host},
		{"peer", f.Peer},
		{"service", f.Service},
		{"route", f.Route},
		{"firm", f.Firm},
		{"class", f.Class},
		{"reason", f.Reason},
		{"target", f.Target},
		{"attempts", f.Attempts},
		{"stack", f.Stack},
		{"load", f.Load},
	}
	for _, t := range texts {
		if t.value != "" {
			out[t.key] = t.value
		}
	}
	if f.Ticket != 0 {
		out["ticket"] = f.Ticket
	}
	if f.Version != 0 {
		out["version"] = f.Version
	}
	if f.PreviousVersion != 0 {
		out["before"] = f.PreviousVersion
	}
	if f.UnreadMillis != 0 {
		out["unread-ms"] = f.UnreadMillis
	}
	if f.NodeLateMillis != 0 {
		out["node-late-ms"] = f.NodeLateMillis
	}
	if f.RemainingMillis != 0 {
		out["ms"], out["ms-left"] = f.DurationMillis, f.RemainingMillis
	}
	if f.IsCall {
		out["call"] = true
	}
	if f.Count != 0 {
		out["count"] = f.Count
	}
	if f.Err != nil {
		out["error"] = f.Err.Error()
	}
	return out
}

func logrusLevel(level Level) logrus.Level {
	switch level {
	case LevelDebug:
		return logrus.DebugLevel
	case LevelWarn:
		return logrus.WarnLevel
	case LevelError:
		return logrus.ErrorLevel
	default:
		return logrus.InfoLevel
	}
}
