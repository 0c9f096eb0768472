package logger

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCatalogue(t *testing.T) {
	numbers := map[int]string{}
	kebab := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	for _, e := range Catalogue() {
		t.Run(e.Name, func(t *testing.T) {
			assert.Equal(t, numbers[e.Number], "", "number %d is used twice", e.Number)
			assert.Assert(t, kebab.MatchString(e.Name))
			assert.Assert(t, strings.HasSuffix(e.Meaning, "."))
			assert.Assert(t, strings.HasSuffix(e.Action, "."))
		})
		numbers[e.Number] = e.Name
	}
}

func TestWrite(t *testing.T) {
	t.Run("an event carries its number and its fields", func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, FormatJSON, LevelInfo, "reyk-a-1", "reyk-a")
		l.Write(NodeStarted, Fields{Version: 7})
		for _, want := range []string{`"event":"GB0100"`, `"version":7`, `"host":"reyk-a-1"`} {
			assert.Assert(t, strings.Contains(out.String(), want), out.String())
		}
	})
	t.Run("a nil logger writes nothing", func(*testing.T) {
		var l *Logger
		l.Write(NodeStarted, Fields{})
	})
}
