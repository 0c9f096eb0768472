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
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed for a reason without an exit code of
	// its own, such as stored data that cannot be decoded.
	ExitFailed = 1
	// ExitUsage means that the command line, the ticket file or the path of the logs
	// is wrong. Nothing was changed.
	ExitUsage = 2
	// ExitRefused means that a rule or the state of the ticket forbids the operation,
	// that a value is too large, or that the ticket or the request does not exist.
	// Repeating the command does not help unless the message says otherwise.
	ExitRefused = 3
	// ExitUnreachable means that the platform or the node did not answer as expected.
	// Nothing was changed.
	ExitUnreachable = 4
	// ExitUnknown means that a change may have taken effect. "ticket list" and "ticket
	// show" tell whether it did. Approving, withdrawing and settling may safely be
	// repeated; filing again may create a second ticket.
	ExitUnknown = 5
)

// UsageError reports an invalid command line or an unreadable ticket file.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// NodeError reports that a node's admin address did not answer as expected.
type NodeError struct {
	Address string
	Cause   error
}

func (e *NodeError) Error() string { return fmt.Sprintf("node at %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *NodeError) Unwrap() error { return e.Cause }

// exitCode returns the exit code for an error. An unknown outcome takes precedence
// over its causes.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitDone
	case isA[*ticketer.UndecidedError](err), isA[*storer.UnknownOutcomeError](err), isA[*ticketer.ContendedError](err):
		return ExitUnknown
	case isA[*UsageError](err), isA[*decoder.InvalidError](err), isA[*ticketer.DraftError](err), isA[*LogError](err):
		return ExitUsage
	case isA[*snapshotter.RefusedError](err), isA[*ticketer.SelfApprovalError](err),
		isA[*ticketer.StateError](err), isA[*ticketer.UnknownTicketError](err), isA[*storer.TooLargeError](err),
		isA[*NotInLogsError](err):
		return ExitRefused
	case isA[*storer.UnavailableError](err), isA[*NodeError](err):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// isA reports whether an error in err's chain is a T.
func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// adviceFor returns what the operator can do about an error, or "" if there is
// nothing to add to the error.
func adviceFor(err error) string {
	var undecided *ticketer.UndecidedError
	switch {
	case errors.As(err, &undecided):
		return fmt.Sprintf("run \"gentianctl ticket settle %d\"; it is safe at any time", undecided.Number)
	case exitCode(err) == ExitUnknown:
		return "the change may have taken effect: look with \"gentianctl ticket list\" before repeating it"
	case isA[*storer.UnavailableError](err):
		return "nothing was changed; nodes go on serving the configuration that they run"
	case isA[*storer.TooLargeError](err):
		return "file the change as several tickets"
	case isA[*ticketer.DraftError](err):
		return "give it in the file or as a flag"
	case isA[*NotInLogsError](err):
		return "log lines on requests are rate-limited: see GB0424, which counts the suppressed lines, and the logs of other nodes"
	case isA[*UsageError](err):
		return "run \"gentianctl help\" for the commands and their flags"
	case isA[*ticketer.SelfApprovalError](err):
		return "ask somebody else to approve it"
	default:
		return ""
	}
}
