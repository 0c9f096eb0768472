// Package logger writes numbered events. Each event is listed in the catalogue
// of this package, and docs/EVENTS.md is made from it, so that an operator who
// sees a number can look up what it means and what to do.
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

// Level tells how urgent an event is.
type Level string

// The levels of events.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is how events are written.
type Format string

// The formats of the log.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Event is an entry of the catalogue.
type Event struct {
	// Number is unique and never used again for another meaning.
	Number int
	// Name is in kebab case.
	Name  string
	Level Level
	// Meaning and Action are whole sentences for operators.
	Meaning string
	Action  string
}

// Fields are the details of one event. Empty fields are left out.
type Fields struct {
	Ticket  uint64
	Version uint64
	// Before is the version that Version replaces.
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
	// Target names the target's process.
	Target string
	// Attempts tells where a request was sent, why, and what came of it.
	Attempts string
	// Load of a target when a request was decided on.
	Load string
	// Stack of a panic.
	Stack string
	// Millis is how long a request took, and LeftMillis how long it had when it came.
	DurationMillis  int64
	RemainingMillis int64
	Count           int
	Err             error
}

// Logger writes events. The zero value writes nothing.
type Logger struct {
	entry *logrus.Entry
	// failures and successes bound the lines on requests.
	failures, successes *rate.Limiter
	// suppressed counts the lines on requests that were left out since the last report.
	suppressed atomic.Int64
}

// Bounds on the lines on requests. Failures use their own part, and what
// successes leave, since they are what is searched for afterwards.
const (
	linesPerSecond        = 200
	successLinesPerSecond = 40
)

// timeFormat has milliseconds: a request's lines on several nodes lie within a few of them.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of at least the given level to w.
// Each event carries the host and data centre.
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
		failures: rate.NewLimiter(linesPerSecond, linesPerSecond), successes: rate.NewLimiter(successLinesPerSecond, successLinesPerSecond),
	}
}

// WriteRequest records what came of a request, within the bounds on such lines.
// What is left out is counted and told with the next line that is written.
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

// Write records one event.
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
	if f.RemainingMillis != 0 {
		out["ms"], out["ms-left"] = f.DurationMillis, f.RemainingMillis
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
