package validator

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// assertRule checks which rule an error reports; empty means that there is no error.
func assertRule(t *testing.T, err error, want Rule) {
	t.Helper()
	var malformed *MalformedError
	if want == "" {
		assert.NilError(t, err)
		return
	}
	assert.Assert(t, errors.As(err, &malformed), "%v", err)
	assert.Equal(t, malformed.Rule, want, "%v", err)
}

func TestStatusLine(t *testing.T) {
	for line, want := range map[string]Rule{
		"HTTP/1.1 200 OK":              "",
		"HTTP/1.0 200 OK":              "",
		"HTTP/1.1 200":                 "",
		"HTTP/1.1 200 ":                "",
		"HTTP/1.1 404 Not\tFound \xe9": "",
		"HTTP/1.1 100 Continue":        "",
		"HTTP/1.1 199 Unassigned":      "",
		"HTTP/1.1 299 Unassigned":      "",
		"HTTP/1.1 999 Unassigned":      "",
		"HTTP/1.1 000 Text":            RuleStatus,
		"HTTP/1.1 099 Text":            RuleStatus,
		"HTTP/1.1 101 Switching":       RuleStatus,
		"HTTP/1.1 +20 Text":            RuleStatusLine,
		"HTTP/1.1 -00 Text":            RuleStatusLine,
		"HTTP/1.1 20 Text":             RuleStatusLine,
		"HTTP/1.1 2000 Text":           RuleStatusLine,
		"HTTP/1.1 200\tOK":             RuleStatusLine,
		"HTTP/1.1  200 OK":             RuleStatusLine,
		"HTTP/1.1 200 O\x00K":          RuleStatusLine,
		"HTTP/1.1 200 O\rK":            RuleStatusLine,
		"HTTP/1.1 200OK":               RuleStatusLine,
		"HTTP/1.1":                     RuleStatusLine,
		"HTTP/2.0 200 OK":              RuleVersion,
		"HTTP/0.9 200 OK":              RuleVersion,
		"HTTP/1.x 200 OK":              RuleVersion,
		"HTTP/1.10 200 OK":             RuleVersion,
		" HTTP/1.1 200 OK":             RuleVersion,
		"http/1.1 200 OK":              RuleVersion,
		"ICY 200 OK":                   RuleVersion,
		"":                             RuleVersion,
	} {
		for _, end := range []string{"\r\n", "\n"} {
			t.Run(line, func(t *testing.T) { assertRule(t, CheckHead([]byte(line+end+end)), want) })
		}
	}
}
