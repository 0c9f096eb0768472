package enroller

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/pkg/storer"
)

// TestOddEntry checks that an object which another program left among those of the nodes
// is passed over, and that the others are followed.
func TestOddEntry(t *testing.T) {
	sound := `{"host":"sound","address":"10.0.0.1:7600","data-centre":"reyk-a","region":"is-south"}`
	odd := func(old, replacement string) string {
		return strings.Replace(strings.Replace(sound, "sound", "odd", 1), old, replacement, 1)
	}
	for name, value := range map[string]string{
		"a port out of range":           odd("7600", "65536"),
		"a port far out of range":       odd("7600", "99999999999999999999999"),
		"port zero":                     odd("7600", "0"),
		"a negative port":               odd("7600", "-1"),
		"a port of letters":             odd("7600", "http"),
		"no port":                       odd(":7600", ""),
		"an address of another type":    odd(`"10.0.0.1:7600"`, "7"),
		"another host":                  odd("odd", "other"),
		"no data centre":                odd("reyk-a", ""),
		"a speed with a large exponent": odd(`"region"`, `"link-mbit":1e999,"region"`),
		"a speed beyond 64 bits":        odd(`"region"`, `"link-mbit":99999999999999999999,"region"`),
		"a negative speed":              odd(`"region"`, `"link-mbit":-1,"region"`),
		"a deeply nested value":         strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"a nested field":                odd(`"region"`, `"x":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`,"region"`),
		"text that is no UTF-8":         odd("odd", "o\xff"),
		"a megabyte of text":            odd("odd", strings.Repeat("x", 1<<20)),
		"nothing":                       "",
		"a list":                        "[]",
		"a field that is named twice":   odd(`"region"`, `"address":"10.0.0.2:0","region"`),
	} {
		t.Run(name, func(t *testing.T) {
			var got []blackboard.NodeRecord
			cfg := Config{Now: time.Now}
			cfg.reportChanges(storer.Changes{Objects: []storer.Object{
				{Key: Kind + "/odd", Value: []byte(value)}, {Key: Kind + "/sound", Value: []byte(sound)},
			}}, true, func(m blackboard.Msg) { got = m.(blackboard.NodesFound).Nodes })
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Host, "sound")
		})
	}
}
