package announcer

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

const validAnnouncement = `{"service":"roster","address":"10.0.0.1:80","slots":10,"connections":120,"phase":"ready"}`

// send sends a request with a body and returns the status and the posted messages.
func send(t *testing.T, method, body string) (int, []blackboard.Msg) {
	t.Helper()
	var posted []blackboard.Msg
	h := Handler(func(m blackboard.Msg) { posted = append(posted, m) }, time.Now, nil)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, "/announce", strings.NewReader(body)))
	return w.Code, posted
}

func TestHandler(t *testing.T) {
	t.Run("a valid announcement is accepted", func(t *testing.T) {
		status, posted := send(t, http.MethodPut, validAnnouncement)
		assert.Equal(t, status, http.StatusNoContent)
		assert.Equal(t, posted[0].(blackboard.TargetAnnounced).Service, "roster")
	})
	t.Run("another HTTP method is refused", func(t *testing.T) {
		status, _ := send(t, http.MethodGet, validAnnouncement)
		assert.Equal(t, status, http.StatusMethodNotAllowed)
	})
	for name, body := range map[string]string{
		"no JSON":                     `roster`,
		"an unknown field":            strings.Replace(validAnnouncement, `{`, `{"weight":3,`, 1),
		"a second value":              validAnnouncement + validAnnouncement,
		"a service with dots":         strings.Replace(validAnnouncement, "roster", "ro.ster", 1),
		"a host name":                 strings.Replace(validAnnouncement, "10.0.0.1", "roster-1", 1),
		"no slots":                    strings.Replace(validAnnouncement, `"slots":10`, `"slots":0`, 1),
		"more slots than connections": strings.Replace(validAnnouncement, `"slots":10`, `"slots":121`, 1),
		"a phase set by the node":     strings.Replace(validAnnouncement, "ready", "failed", 1),
		"an oversized body":           `{"service":"` + strings.Repeat("a", maxAnnouncementBytes) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			status, posted := send(t, http.MethodPut, body)
			assert.Equal(t, status, http.StatusBadRequest)
			assert.Equal(t, len(posted), 0)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add(validAnnouncement)
	f.Add(`{"service":"","slots":-1}`)
	f.Add(`{}{}`)
	f.Fuzz(func(t *testing.T, body string) {
		a, err := Read(strings.NewReader(body))
		var invalid *InvalidAnnouncementError
		var unreadable *UnreadableAnnouncementError
		if err != nil {
			assert.Assert(t, errors.As(err, &invalid) || errors.As(err, &unreadable))
			return
		}
		assert.Assert(t, a.Slots >= 1 && a.Slots <= a.Connections && a.Connections <= maxConnections)
	})
}
