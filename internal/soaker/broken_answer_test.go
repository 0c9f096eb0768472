package soaker

import (
	"strconv"
	"testing"

	"gentianbarrow.example/platform/emulator"
)

// The seeds of the addresses of the meshes in these tests. They are even, so that there
// are no firms.
const (
	statusSeed = 9002 + 2*iota
)

// TestBrokenStatus guards against answers whose status is not one of HTTP, such as 000: a
// caller got them as answers of the target.
func TestBrokenStatus(t *testing.T) {
	m := newRawMesh(t, statusSeed)
	for _, status := range []string{"000", "001", "099", "+20", "-00", "20", "2000", "2x0"} {
		t.Run(status, func(t *testing.T) {
			m.atBothNodes(t, 0, func(t *testing.T, c *emulator.Caller) {
				m.assertFailed(t, c, 0, kinds()[0], 2, func(x *emulator.RawExchange) {
					x.Write("HTTP/1.1 " + status + " Text\r\n" + x.Fields(rawBody) + "Content-Length: " + strconv.Itoa(len(rawBody)) + "\r\n\r\n" + rawBody)
					x.Keep = true
				})
			})
		})
	}
}
