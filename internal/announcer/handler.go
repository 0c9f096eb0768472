package announcer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
)

// Announcement is the body of PUT /announce.
type Announcement struct {
	// Service is in kebab case.
	Service string `json:"service"`
	// Address is the target's address, as ip:port.
	Address string `json:"address"`
	// Slots is how many requests the target runs at once; at least 1.
	Slots int `json:"slots"`
	// Connections is how many connections the target accepts; at least Slots.
	Connections int `json:"connections"`
	// Phase is cold, ready or draining.
	Phase blackboard.TargetPhase `json:"phase"`
}

// Limits on an announcement.
const (
	maxAnnouncementBytes = 4096
	maxServiceBytes      = 128
	maxConnections       = 1 << 20
)

// InvalidAnnouncementError reports the field that breaks a rule. The whole announcement is rejected.
type InvalidAnnouncementError struct{ Field, Rule string }

func (e *InvalidAnnouncementError) Error() string {
	return fmt.Sprintf("announcement: field %q must be %s", e.Field, e.Rule)
}

// UnreadableAnnouncementError reports that the body cannot be decoded as an announcement.
type UnreadableAnnouncementError struct{ Cause error }

func (e *UnreadableAnnouncementError) Error() string {
	return fmt.Sprintf("announcement: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableAnnouncementError) Unwrap() error { return e.Cause }

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// Handler returns the handler of PUT /announce. It responds with 204, or with 400 and the reason.
func Handler(post blackboard.Post, now func() time.Time, log *logger.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /announce", func(w http.ResponseWriter, r *http.Request) {
		a, err := Read(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		if err != nil {
			log.Write(logger.AnnouncementRefused, logger.Fields{Peer: r.RemoteAddr, Err: err})
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		post(blackboard.TargetAnnounced{
			Service: a.Service, Address: a.Address, Slots: a.Slots,
			Connections: a.Connections, Phase: a.Phase, Now: now(),
		})
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Read decodes and validates one announcement. It is strict: an unknown field or a second value is an error.
func Read(r io.Reader) (Announcement, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var a Announcement
	if err := decoder.Decode(&a); err != nil {
		return Announcement{}, &UnreadableAnnouncementError{Cause: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Announcement{}, &InvalidAnnouncementError{Field: "", Rule: "the only value in the body"}
	}
	return a, a.validate()
}

func (a Announcement) validate() error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case len(a.Service) > maxServiceBytes || !kebabCase.MatchString(a.Service):
		return &InvalidAnnouncementError{Field: "service", Rule: "a name in kebab case"}
	case err != nil || address.Port() == 0:
		return &InvalidAnnouncementError{Field: "address", Rule: "an ip:port"}
	case a.Slots < 1 || a.Slots > a.Connections:
		return &InvalidAnnouncementError{Field: "slots", Rule: "at least 1 and at most connections"}
	case a.Connections > maxConnections:
		return &InvalidAnnouncementError{Field: "connections", Rule: fmt.Sprintf("at most %d", maxConnections)}
	}
	switch a.Phase {
	case blackboard.TargetCold, blackboard.TargetReady, blackboard.TargetDraining:
		return nil
	default:
		return &InvalidAnnouncementError{Field: "phase", Rule: "cold, ready or draining"}
	}
}
