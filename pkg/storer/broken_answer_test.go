package storer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/answerer"
	"gentianbarrow.example/internal/validator"
	"gentianbarrow.example/pkg/storer"
)

func assertCause[E error](t *testing.T, err error) {
	t.Helper()
	var want E
	assert.Assert(t, errors.As(err, &want), "%v", err)
}

// newAnswered returns a client of a platform that answers each call with the same bytes.
func newAnswered(t *testing.T, answer string) (storer.Client, *answerer.Answerer) {
	t.Helper()
	a, err := answerer.Listen("127.0.0.1:0", answerer.Fixed(answer))
	assert.NilError(t, err)
	t.Cleanup(a.Close)
	return storer.NewHTTPClient("http://" + a.Address), a
}

// TestBrokenAnswers guards against answers of the platform that are none: a write may have
// taken effect, and a read has failed.
func TestBrokenAnswers(t *testing.T) {
	for name, start := range map[string]string{
		"a status of 000":   "HTTP/1.1 000 OK\r\n",
		"a blank in a name": "HTTP/1.1 200 OK\r\nX-Object-Revision : 5\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, a := newAnswered(t, start+"X-Object-Revision: 4\r\nContent-Length: 2\r\n\r\n{}")
			_, err := c.Get(t.Context(), "k")
			assertCause[*storer.UnavailableError](t, err)
			assertCause[*validator.MalformedError](t, err)
			_, err = c.Put(t.Context(), "k", []byte("{}"), 4)
			assertCause[*storer.UnknownOutcomeError](t, err)
			assert.Equal(t, a.Reused(), 0, "the connection was used again")
		})
	}
}

// TestLongAnswer guards against a value that is cut at its bound and shown as whole.
func TestLongAnswer(t *testing.T) {
	for _, size := range []int{storer.MaxValueBytes, storer.MaxValueBytes + 1} {
		value := strings.Repeat("v", size)
		c, _ := newAnswered(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Object-Revision: 4\r\nContent-Length: %d\r\n\r\n%s", size, value))
		o, err := c.Get(t.Context(), "k")
		if size <= storer.MaxValueBytes {
			assert.NilError(t, err)
			assert.Equal(t, len(o.Value), size)
			continue
		}
		assertCause[*storer.UnavailableError](t, err)
		assertCause[*storer.LongAnswerError](t, err)
	}
}
