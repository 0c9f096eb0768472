// Package encoder writes and reads length-prefixed protobuf messages on a stream.
// Every read has a size limit, so that a malformed or malicious message cannot
// exhaust memory.
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

// TooLargeError reports a message above the size limit. The stream cannot be used after it.
type TooLargeError struct{ Bytes, Limit uint64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// MalformedError reports bytes that cannot be decoded. The stream cannot be used after it.
type MalformedError struct{ Cause error }

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed message: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// TruncatedError reports that the stream ended inside a message.
type TruncatedError struct{ Cause error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream ended inside a message: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Write sends one message of at most limit bytes in a single write.
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

// Read receives one message of at most limit bytes. It returns io.EOF only if
// the stream ends between two messages.
func Read(r *bufio.Reader, m proto.Message, limit int) error {
	size, err := readSize(r, limit)
	if err != nil {
		return err
	}
	buf, err := readInSteps(r, size)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(buf, m); err != nil {
		return &MalformedError{Cause: err}
	}
	return nil
}

// readStepBytes is the maximum number of bytes that Read allocates before they are received.
const readStepBytes = 32 << 10

// readInSteps reads size bytes. It grows the buffer by at most readStepBytes at a
// time, so that a peer cannot make it allocate a large buffer by sending only a
// large size.
func readInSteps(r io.Reader, size int) ([]byte, error) {
	buf := make([]byte, 0, min(size, readStepBytes))
	for len(buf) < size {
		step := min(size-len(buf), readStepBytes)
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
		return 0, classifySizeError(err)
	}
	if size > uint64(limit) {
		return 0, &TooLargeError{Bytes: size, Limit: uint64(limit)}
	}
	return int(size), nil
}

func classifySizeError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &TruncatedError{Cause: err}
	}
	var netErr net.Error
	if errors.As(err, &netErr) {
		return err
	}
	return &MalformedError{Cause: err}
}
