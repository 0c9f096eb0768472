package commander

import (
	"errors"
	"fmt"

	"gentianbarrow.example/internal/decoder"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

// Exit codes of gentianctl.
const (
	// ExitDone means that the command did what it says.
	ExitDone = 0
	// ExitFailed means that something is stored that this program cannot read.
	ExitFailed = 1
	// ExitUsage means that the command line or the ticket file is wrong. Nothing was changed.
	ExitUsage = 2
	// ExitRefused means that a rule forbids it. The refusal is final unless it says otherwise.
	ExitRefused = 3
	// ExitUnreachable means that the platform or the node did not answer. Nothing was changed.
	ExitUnreachable = 4
	// ExitUnknown means that a change may have taken effect. "ticket show" tells; repeating is safe.
	ExitUnknown = 5
)

// UsageError tells that a command line is wrong.
type UsageError struct{ Text string }

func (e *UsageError) Error() string { return e.Text }

// NodeError tells that a node's admin address did not answer as expected.
type NodeError struct {
	Address string
	Cause   error
}

func (e *NodeError) Error() string { return fmt.Sprintf("node at %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *NodeError) Unwrap() error { return e.Cause }

// exitCode returns the exit code for an error. An unknown outcome goes before
// everything that it was caused by.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitDone
	case is[*ticketer.UndecidedError](err), is[*storer.UnknownOutcomeError](err), is[*ticketer.ContendedError](err):
		return ExitUnknown
	case is[*UsageError](err), is[*decoder.InvalidError](err), is[*ticketer.DraftError](err), is[*LogError](err):
		return ExitUsage
	case is[*snapshotter.RefusedError](err), is[*ticketer.SelfApprovalError](err),
		is[*ticketer.StateError](err), is[*ticketer.UnknownTicketError](err), is[*storer.TooLargeError](err),
		is[*NotInLogsError](err):
		return ExitRefused
	case is[*storer.UnavailableError](err), is[*NodeError](err):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// advice says what to do next about an error; empty when the error says it all.
func advice(err error) string {
	var undecided *ticketer.UndecidedError
	switch {
	case errors.As(err, &undecided):
		return fmt.Sprintf("run \"gentianctl ticket settle %d\"; it is safe at any time", undecided.Number)
	case exitCode(err) == ExitUnknown:
		return "the change may have taken effect: look with \"gentianctl ticket list\" before repeating it"
	case is[*storer.UnavailableError](err):
		return "nothing was changed; nodes go on serving the configuration that they run"
	case is[*storer.TooLargeError](err):
		return "file the change as several tickets"
	case is[*ticketer.DraftError](err):
		return "give it in the file or as a flag"
	case is[*NotInLogsError](err):
		return "lines on requests are bounded: look at GB0424, which counts those that were left out, and at the logs of other nodes"
	case is[*UsageError](err):
		return "run \"gentianctl help\" for the commands and their flags"
	case is[*ticketer.SelfApprovalError](err):
		return "ask somebody else to approve it"
	default:
		return ""
	}
}
