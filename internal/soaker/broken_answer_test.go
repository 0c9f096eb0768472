package soaker

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/platform/emulator"
)

// The seeds of the addresses of the meshes in these tests. They are even, so that there
// are no firms.
const (
	statusSeed = 9002 + 2*iota
	resetSeed
	fieldSeed
	framingSeed
)

// brokenUploadBytes is more than the buffers between a node and a target that does not read.
const brokenUploadBytes = 8 << 20

// TestBrokenStatus guards against answers whose status is not one of HTTP, such as 000: a
// caller got them as answers of the target.
func TestBrokenStatus(t *testing.T) {
	m := newRawMesh(t, statusSeed)
	const tries = 2
	statuses := []string{"000", "001", "099", "+20", "-00", "20", "2000", "2x0"}
	for _, status := range statuses {
		t.Run(status, func(t *testing.T) {
			m.atBothNodes(t, 0, func(t *testing.T, c *emulator.Caller) {
				m.assertBadGateway(t, c, 0, kinds()[0], tries, func(x *emulator.RawExchange) {
					x.Write("HTTP/1.1 " + status + " Text\r\n" + x.Fields(rawBody) + "Content-Length: " + strconv.Itoa(len(rawBody)) + "\r\n\r\n" + rawBody)
					x.Keep = true
				})
			})
		})
	}
	m.assertReported(t, 0, dispatcher.PartHead, 2*tries*len(statuses))
}

// TestResetDuringUpload guards against a target that answers an upload at once, sends a
// part of the body and resets the connection: the write of the upload sees the reset, and
// the read of the answer then ends as if the answer were complete.
func TestResetDuringUpload(t *testing.T) {
	const tries = 20
	m := newRawMesh(t, resetSeed)
	upload := kinds()[2]
	upload.Bytes = brokenUploadBytes
	part := strings.Repeat("part of a body; ", 4000)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	for name, cut := range map[string]struct{ framing, body string }{
		"without a length": {"", part},
		"closing":          {"Connection: close\r\n", part},
		"with a length":    {fmt.Sprintf("Content-Length: %d\r\n", 2*len(part)), part},
		"in chunks":        {"Transfer-Encoding: chunked\r\n", chunk},
	} {
		t.Run(name, func(t *testing.T) {
			m.atBothNodes(t, 2, func(t *testing.T, c *emulator.Caller) {
				m.assertNotWhole(t, c, 2, upload, tries, func(x *emulator.RawExchange) {
					time.Sleep(5 * time.Millisecond)
					x.Write("HTTP/1.1 200 OK\r\n" + x.Fields(rawBody) + cut.framing + "\r\n" + cut.body)
					x.Reset()
				})
			})
		})
	}
}

// TestBrokenFieldName guards against heads in which the name of a field holds a blank or a
// control byte. A field that states the length of the body was not seen as such, so the
// caller got a body that was not the target's.
func TestBrokenFieldName(t *testing.T) {
	m := newRawMesh(t, fieldSeed)
	for name, field := range map[string]string{
		"blank before the colon":     "X-Field : v",
		"tab before the colon":       "X-Field\t: v",
		"blank within":               "X Field: v",
		"blank at the start":         " X-Field: v",
		"length with a blank":        fmt.Sprintf("Content-Length : %d", len(rawBody)),
		"encoding with a blank":      "Transfer-Encoding : chunked",
		"control byte":               "X-\x01Field: v",
		"control byte in the length": fmt.Sprintf("Content-Length\x00: %d", len(rawBody)),
		"delete":                     "X-Field\x7f: v",
		"carriage return":            "X-Field\r: v",
		"no name":                    ": v",
		"no colon":                   "X-Field",
	} {
		t.Run(name, func(t *testing.T) {
			m.atBothNodes(t, 0, func(t *testing.T, c *emulator.Caller) {
				for _, framing := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(rawBody))} {
					m.assertBadGateway(t, c, 0, kinds()[0], 1, func(x *emulator.RawExchange) {
						x.Write("HTTP/1.1 200 OK\r\n" + x.Fields(rawBody) + field + "\r\n" + framing + "\r\n" + rawBody)
						x.Keep = framing != ""
					})
				}
			})
		})
	}
}

// TestBrokenFraming guards against heads by which the end of the body cannot be told. A
// Transfer-Encoding in an answer of HTTP/1.0 was ignored, so the caller got the sizes of the
// chunks as a part of the body.
func TestBrokenFraming(t *testing.T) {
	m := newRawMesh(t, framingSeed)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rawBody), rawBody)
	for name, answer := range map[string]struct{ version, fields, body string }{
		"chunks of HTTP/1.0":       {"HTTP/1.0", "Transfer-Encoding: chunked\r\n", chunked},
		"another encoding":         {"HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n", chunked},
		"two encodings":            {"HTTP/1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunked},
		"two lengths":              {"HTTP/1.1", "Content-Length: 3\r\nContent-Length: 4\r\n", rawBody},
		"a length with a sign":     {"HTTP/1.1", "Content-Length: +3\r\n", rawBody},
		"an empty length":          {"HTTP/1.1", "Content-Length:\r\n", rawBody},
		"a length of HTTP/2":       {"HTTP/2.0", "Content-Length: 3\r\n", rawBody},
		"chunks without sizes":     {"HTTP/1.1", "Transfer-Encoding: chunked\r\n", rawBody + "\r\n"},
		"a chunk that is too long": {"HTTP/1.1", "Transfer-Encoding: chunked\r\n", "3\r\n" + rawBody + "\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			m.atBothNodes(t, 0, func(t *testing.T, c *emulator.Caller) {
				m.assertNotWhole(t, c, 0, kinds()[0], 2, func(x *emulator.RawExchange) {
					x.Write(answer.version + " 200 OK\r\n" + x.Fields(rawBody) + answer.fields + "\r\n" + answer.body)
				})
			})
		})
	}
}
