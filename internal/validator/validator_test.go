package validator

import (
	"errors"
	"net/http"
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

// fields are lines of a head with the rules that they violate.
var fields = map[string]Rule{
	"X-Field: v":                  "",
	"X-Field:v":                   "",
	"X-Field:":                    "",
	"X-Field: \t caf\xe9 \t":      "",
	"x!#$%&'*+-.^_`|~09AZ: v":     "",
	"X-Field: a: b":               "",
	"Content-Length: 4":           "",
	"X-Field : v":                 RuleFieldName,
	"X-Field\t: v":                RuleFieldName,
	"X Field: v":                  RuleFieldName,
	"Content-Length : 4":          RuleFieldName,
	"Transfer-Encoding : chunked": RuleFieldName,
	"X-\x00Field: v":              RuleFieldName,
	"X-Field\r: v":                RuleFieldName,
	"X-Field\x7f: v":              RuleFieldName,
	"X-F\xe9ld: v":                RuleFieldName,
	"X-(Field): v":                RuleFieldName,
	": v":                         RuleFieldName,
	"X-Field":                     RuleFieldName,
	"X-Field: a\x00b":             RuleFieldValue,
	"X-Field: a\rb":               RuleFieldValue,
	"X-Field: a\x7fb":             RuleFieldValue,
	" X-Field: v":                 RuleFolding,
	"\tv":                         RuleFolding,
	" ":                           RuleFolding,
}

func TestFields(t *testing.T) {
	for line, want := range fields {
		t.Run(line, func(t *testing.T) {
			assertRule(t, CheckHead([]byte("HTTP/1.1 200 OK\r\n"+line+"\r\nX-Last: v\r\n\r\n")), want)
			assertRule(t, CheckHead([]byte("HTTP/1.1 200 OK\nX-First: v\n"+line+"\n\n")), want)
		})
	}
}

func TestEncodingOfOldVersion(t *testing.T) {
	const fields = "X-First: v\r\ntransfer-encoding: chunked\r\n\r\n"
	assertRule(t, CheckHead([]byte("HTTP/1.0 200 OK\r\n"+fields)), RuleFraming)
	assertRule(t, CheckHead([]byte("HTTP/1.1 200 OK\r\n"+fields)), "")
}

func TestCheckFields(t *testing.T) {
	assertRule(t, CheckFields(nil), "")
	assertRule(t, CheckFields(http.Header{"X-Field": {"v", ""}}), "")
	assertRule(t, CheckFields(http.Header{"X-Field ": {"v"}}), RuleFieldName)
	assertRule(t, CheckFields(http.Header{"X-Field": {"v", "a\nb"}}), RuleFieldValue)
}
