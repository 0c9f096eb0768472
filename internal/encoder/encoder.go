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
	"net"
	"slices"

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
	size, err := readSize(r, limit)
	if err != nil {
		return err
	}
	buf, err := readGrowing(r, size)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(buf, m); err != nil {
		return &MalformedError{Cause: err}
	}
	return nil
}

// growBytes is how much a reader allocates ahead of the bytes that have come.
const growBytes = 32 << 10

// readGrowing allocates no more than growBytes beyond what the peer has sent.
func readGrowing(r io.Reader, size int) ([]byte, error) {
	buf := make([]byte, 0, min(size, growBytes))
	for len(buf) < size {
		step := min(size-len(buf), growBytes)
		buf = slices.Grow(buf, step)
		n, err := io.ReadFull(r, buf[len(buf):len(buf)+step])
		buf = buf[:len(buf)+n]
		if err != nil {
			return nil, &TruncatedError{Cause: err}
		}
	}
	return buf, nil
}

func readSize(r *bufio.Reader, limit int) (int, error) {
	size, err := binary.ReadUvarint(r)
	if errors.Is(err, io.EOF) {
		return 0, io.EOF
	}
	if err != nil {
		return 0, sizeError(err)
	}
	if size > uint64(limit) {
		return 0, &TooLargeError{Bytes: size, Limit: uint64(limit)}
	}
	return int(size), nil
}

func sizeError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &TruncatedError{Cause: err}
	}
	var netErr net.Error
	if errors.As(err, &netErr) {
		return err
	}
	return &MalformedError{Cause: err}
}
