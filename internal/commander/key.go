package commander

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"gentianbarrow.example/pkg/snapshotter"
)

// keyOutput is the output of "key digest".
type keyOutput struct {
	Digest snapshotter.Digest `json:"digest"`
}

// digestKey reads the key from the standard input, because other users of the host see
// the arguments of a process. No error quotes the key.
func digestKey(_ context.Context, c invocation) error {
	key, err := c.ReadFile("-")
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	key = bytes.TrimRight(key, "\r\n")
	if len(key) == 0 {
		return &UsageError{Message: "the standard input is empty"}
	}
	for _, b := range key {
		if b <= ' ' || b > '~' {
			return &UsageError{Message: "a key has one line of printable ASCII characters without spaces"}
		}
	}
	output := keyOutput{Digest: snapshotter.DigestKey(string(key))}
	return c.print(output, func(w io.Writer) { fmt.Fprintln(w, output.Digest) })
}
