// Package validator decides whether the head of an HTTP/1.x answer is well-formed, wherever
// the bytes of a peer become an answer. What it refuses is refused as a whole and not
// repaired: a peer that is stricter, or more lenient, takes another answer from the same
// bytes.
package validator

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Rule is what a malformed head violates.
type Rule string

// The rules.
const (
	// RuleStatusLine requires a version, a status of three digits and a reason, with one
	// space between them. The reason may be missing.
	RuleStatusLine Rule = "status-line"
	// RuleVersion requires HTTP/1.x.
	RuleVersion Rule = "version"
	// RuleStatus requires a status from 100 to 999 other than 101: no request asks for
	// another protocol.
	RuleStatus Rule = "status"
	// RuleFieldName requires that the name of a field is a token that ends at the colon.
	RuleFieldName Rule = "field-name"
	// RuleFieldValue requires that the value of a field has no control byte but tabs.
	RuleFieldValue Rule = "field-value"
	// RuleFolding requires that no line continues the one before. HTTP/1.1 lets a recipient
	// refuse such lines; without the blank most of them are fields of their own.
	RuleFolding Rule = "folding"
	// RuleFraming requires that the head states one way in which the body ends.
	RuleFraming Rule = "framing"
)

const (
	versionPrefix = "HTTP/1."
	// statusDigits is the length of a status.
	statusDigits = 3
	// maxQuotedBytes is how much of a head an error quotes.
	maxQuotedBytes = 40
)

// MalformedError reports the head of an answer that violates a rule. Source: a peer that
// speaks HTTP, such as a target or the store.
type MalformedError struct {
	Rule Rule
	// Detail is the part that violates the rule, or the cause in words. It holds no value of a
	// field but those that frame the body.
	Detail string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed head of an answer (%s): %q", e.Rule, e.Detail[:min(len(e.Detail), maxQuotedBytes)])
}

// IsFinalStatus reports whether a status can be that of the answer to a request.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 999 }

// CheckHead checks a head as received, from the status line to the empty line that ends it.
func CheckHead(head []byte) error {
	line, rest := cutLine(head)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	hasEncodings := !bytes.HasPrefix(line, []byte("HTTP/1.0"))
	for line, rest = cutLine(rest); len(line) > 0; line, rest = cutLine(rest) {
		if err := checkFieldLine(line, hasEncodings); err != nil {
			return err
		}
	}
	return nil
}

// checkFieldLine checks a line behind the status line. HTTP/1.0 has no transfer encodings, so
// an answer of that version which states one ends where nobody can tell.
func checkFieldLine(line []byte, hasEncodings bool) error {
	if line[0] == ' ' || line[0] == '\t' {
		return &MalformedError{Rule: RuleFolding, Detail: "a line that begins with a blank"}
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return &MalformedError{Rule: RuleFieldName, Detail: string(line)}
	}
	if !hasEncodings && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return &MalformedError{Rule: RuleFraming, Detail: "a transfer encoding in an answer of HTTP/1.0"}
	}
	return checkField(name, value)
}

// CheckFields checks fields that have been received: those of a head, or the trailers of a body.
func CheckFields(h http.Header) error {
	for name, values := range h {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkField[T string | []byte](name, value T) error {
	if !isToken(name) {
		return &MalformedError{Rule: RuleFieldName, Detail: string(name)}
	}
	if !isText(value) {
		return &MalformedError{Rule: RuleFieldValue, Detail: string(name)}
	}
	return nil
}

// cutLine returns the first line of a head without its end, and what follows it. The end is
// that which net/http takes for one: a line feed, or a carriage return and a line feed.
func cutLine(head []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if !bytes.HasPrefix(version, []byte(versionPrefix)) || len(version) != len(versionPrefix)+1 || !isDigits(version[len(versionPrefix):]) {
		return &MalformedError{Rule: RuleVersion, Detail: string(line)}
	}
	if len(status) != statusDigits || !isDigits(status) || !isText(reason) {
		return &MalformedError{Rule: RuleStatusLine, Detail: string(line)}
	}
	n := 0
	for _, digit := range status {
		n = 10*n + int(digit-'0')
	}
	return checkStatus(n)
}

func checkStatus(status int) error {
	isInterim := status/100 == 1 && status != http.StatusSwitchingProtocols
	if isInterim || IsFinalStatus(status) {
		return nil
	}
	return &MalformedError{Rule: RuleStatus, Detail: fmt.Sprintf("%03d", status)}
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// isText reports whether a text has no control byte but tabs.
func isText[T string | []byte](text T) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether a text is a token of HTTP, as the name of a field must be.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		c := text[i]
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		isDigit := '0' <= c && c <= '9'
		if !isLetter && !isDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}
