// Package encoder writes and reads protobuf messages on a stream, each behind
// its length. A reader never allocates more than the limit it was given, so a
// malformed or hostile peer cannot make it grow.
package encoder

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// Limits on the encoded size of one message, in bytes.
const (
	MaxControlBytes = 4 << 20
	MaxHeaderBytes  = 256 << 10
	MaxChunkBytes   = 64<<10 + 64
)

// TooLargeError tells that a message is over the limit. The stream is of no further use.
type TooLargeError struct{ Bytes, Limit uint64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over the limit of %d", e.Bytes, e.Limit)
}

// MalformedError tells that the bytes are not the expected message. The stream is of no further use.
type MalformedError struct{ Cause error }

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed message: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// TruncatedError tells that the stream ended inside a message.
type TruncatedError struct{ Cause error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream ended inside a message: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Write sends one message in a single write. The limit is in bytes.
func Write(w io.Writer, m proto.Message, limit int) error {
	size := proto.Size(m)
	if size > limit {
		return &TooLargeError{Bytes: uint64(size), Limit: uint64(limit)}
	}
	buf := make([]byte, 0, size+binary.MaxVarintLen64)
	buf = binary.AppendUvarint(buf, uint64(size))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return &MalformedError{Cause: err}
	}
	_, err = w.Write(buf)
	return err
}

// Read receives one message of at most limit bytes. It returns io.EOF only
// when the stream ends between two messages.
func Read(r *bufio.Reader, m proto.Message, limit int) error {
	size, err := binary.ReadUvarint(r)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &TruncatedError{Cause: err}
	}
	if err != nil {
		return err
	}
	if size > uint64(limit) {
		return &TooLargeError{Bytes: size, Limit: uint64(limit)}
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return &TruncatedError{Cause: err}
	}
	if err := proto.Unmarshal(buf, m); err != nil {
		return &MalformedError{Cause: err}
	}
	return nil
}
