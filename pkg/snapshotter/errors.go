package snapshotter

import (
	"fmt"
	"strings"
)

// Rule names the rule that a refused change breaks.
type Rule string

// The rules for a change and for a snapshot.
const (
	// RuleEmptyChange refuses a change that touches nothing.
	RuleEmptyChange Rule = "empty-change"
	// RuleDuplicate refuses a change that names a resource twice.
	RuleDuplicate Rule = "duplicate-resource"
	// RuleNewerTicket refuses to overwrite what the same or a later ticket set or removed.
	RuleNewerTicket Rule = "newer-ticket"
	// RuleMissingResource refuses to remove what does not exist.
	RuleMissingResource Rule = "missing-resource"
	// RuleMissingService refuses a route to a service that does not exist.
	RuleMissingService Rule = "missing-service"
	// RuleStillRouted refuses to remove a service that a route still names.
	RuleStillRouted Rule = "service-still-routed"
	// RuleSharedPrefix refuses two routes of a host with the same prefix.
	RuleSharedPrefix Rule = "shared-prefix"
	// RuleName refuses names that are too long or not in kebab case.
	RuleName Rule = "name"
	// RuleLimit refuses numbers outside their range.
	RuleLimit Rule = "limit"
	// RulePrefix refuses malformed prefixes and health paths.
	RulePrefix Rule = "prefix"
	// RuleMethod refuses unknown and repeated methods.
	RuleMethod Rule = "method"
	// RuleClass refuses unknown classes.
	RuleClass Rule = "class"
	// RuleKeyOrder refuses access keys of a firm that are not sorted or stand twice.
	RuleKeyOrder Rule = "key-order"
	// RuleSharedKey refuses an access key that belongs to two firms.
	RuleSharedKey Rule = "shared-key"
)

// RefusedError reports that a change or a snapshot breaks one or more rules.
// No part of it is applied.
type RefusedError struct {
	Rule Rule `json:"rule"`
	// Resource is "service NAME", "route NAME" or "firm NAME".
	Resource string `json:"resource,omitempty"`
	// Field is the key as it is written in tickets.
	Field string `json:"field,omitempty"`
	// Ticket is the ticket that the change collides with; 0 when it collides with none.
	Ticket uint64 `json:"ticket,omitempty"`
	// Detail is a sentence without its full stop, for people to read. It is stored
	// with the decision on a ticket.
	Detail string `json:"detail"`
	// More holds the further violations, whose own More is empty.
	More []RefusedError `json:"more,omitempty"`
}

func (e *RefusedError) Error() string {
	lines := []string{e.line()}
	for i := range e.More {
		lines = append(lines, e.More[i].line())
	}
	return strings.Join(lines, "; ")
}

func (e *RefusedError) line() string {
	location := strings.TrimSpace(e.Resource + " " + e.Field)
	if location != "" {
		location = ", " + location
	}
	collision := ""
	if e.Ticket != 0 {
		collision = fmt.Sprintf(" (collides with ticket %d)", e.Ticket)
	}
	return fmt.Sprintf("rule %s%s: %s%s", e.Rule, location, e.Detail, collision)
}

// DigestMismatchError reports that a snapshot does not have the expected digest.
// Nothing is applied; fetch the whole snapshot instead.
type DigestMismatchError struct {
	// Subject names the snapshot that was compared, such as "base" or "result".
	Subject  string
	Version  uint64
	Expected Digest
	Actual   Digest
}

func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("digest of the %s at version %d is %s, not %s", e.Subject, e.Version, e.Actual, e.Expected)
}

// MalformedError reports that bytes cannot be decoded.
type MalformedError struct {
	// Subject names what was decoded, such as "snapshot" or "digest".
	Subject string
	Cause   error
}

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed %s: %v", e.Subject, e.Cause) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
