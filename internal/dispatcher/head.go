package dispatcher

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"gentianbarrow.example/internal/validator"
)

// maxHeadBytes bounds the head of an answer. It is held in memory before it is read.
const maxHeadBytes = 64 << 10

// HeadTooLargeError reports an answer whose head is longer than Max bytes.
type HeadTooLargeError struct{ Max int }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("head of an answer is longer than %d bytes", e.Max)
}

// readHead reads the head of the next answer on the connection. Its error is a
// *BrokenAnswerError if at least a part of the head has been received.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	head, err := c.peekHead()
	if err != nil && c.r.Buffered() == 0 {
		return nil, err
	}
	if err == nil {
		err = validator.CheckHead(head)
	}
	if err != nil {
		return nil, &BrokenAnswerError{Part: PartHead, Cause: err}
	}
	resp, err := http.ReadResponse(c.r, r)
	if err != nil {
		// The whole head has been received, so this is no failure of the connection.
		return nil, &BrokenAnswerError{Part: PartHead, Cause: &validator.MalformedError{Rule: validator.RuleFraming, Detail: err.Error()}}
	}
	return resp, nil
}

// peekHead waits for the head of the next answer and returns it without reading it. The
// slice is valid until the next read.
func (c *conn) peekHead() ([]byte, error) {
	// lineStart is the start of the first line that is not known to be complete.
	for lineStart := 0; ; {
		head, _ := c.r.Peek(c.r.Buffered())
		for {
			length := bytes.IndexByte(head[lineStart:], '\n')
			if length < 0 {
				break
			}
			line := head[lineStart : lineStart+length]
			lineStart += length + 1
			if len(line) == 0 || string(line) == "\r" {
				return head[:lineStart], nil
			}
		}
		if len(head) >= maxHeadBytes {
			return nil, &HeadTooLargeError{Max: maxHeadBytes}
		}
		if err := c.receiveMore(len(head)); err != nil {
			return nil, err
		}
	}
}

// receiveMore waits until more bytes are buffered than the given number. It makes room for
// them if the buffer is full.
func (c *conn) receiveMore(buffered int) error {
	if buffered == c.r.Size() {
		held := make([]byte, buffered)
		if _, err := io.ReadFull(c.r, held); err != nil {
			return err
		}
		c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(held), c.source), min(2*buffered, maxHeadBytes))
	}
	_, err := c.r.Peek(buffered + 1)
	if errors.Is(err, io.EOF) && buffered > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
