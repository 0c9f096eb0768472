// Package platformer serves the object API of pkg/storer over HTTP from
// memory. It stands in for the platform in demonstrations and tests: callers
// use the object API, and a script flips faults and reads counts below
// AdminPath.
//
//	handler := platformer.New(storer.NewFake()).Handler()
package platformer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"gentianbarrow.example/pkg/storer"
)

// AdminPath is followed by "faults", "rates" or "counts".
const AdminPath = "/admin/"

// maxAdminBytes bounds the body of an admin call.
const maxAdminBytes = 4 << 10

// Server answers the object API from a Fake.
type Server struct {
	Store *storer.Fake
}

// New returns a server for a store.
func New(store *storer.Fake) *Server { return &Server{Store: store} }

// Handler returns the object API and the admin calls on a mux of their own.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storer.ObjectPath+"{key}", s.get)
	mux.HandleFunc("PUT "+storer.ObjectPath+"{key}", s.put)
	mux.HandleFunc("DELETE "+storer.ObjectPath+"{key}", s.remove)
	mux.HandleFunc("GET "+storer.ListPath, s.list)
	mux.HandleFunc("GET "+storer.WatchPath+"{key}", s.watch)
	mux.HandleFunc("GET "+AdminPath+"faults", s.readFaults)
	mux.HandleFunc("PUT "+AdminPath+"faults", s.writeFaults)
	mux.HandleFunc("PUT "+AdminPath+"rates", s.writeRates)
	mux.HandleFunc("GET "+AdminPath+"counts", s.readCounts)
	return mux
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.Store.Client().Get(r.Context(), r.PathValue("key"))
	answerObject(w, obj, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.Header.Get(storer.RevisionHeader), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storer.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	obj, err := s.Store.Client().Put(r.Context(), r.PathValue("key"), value, revision)
	obj.Value = nil
	answerObject(w, obj, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.Header.Get(storer.RevisionHeader), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.Store.Client().Delete(r.Context(), r.PathValue("key"), revision)
	answerObject(w, storer.Object{}, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.Store.Client().List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		answerError(w, err)
		return
	}
	entries := make([]storer.ListEntry, 0, len(objects))
	for _, obj := range objects {
		entries = append(entries, storer.ListEntry{Key: obj.Key, Revision: obj.Revision})
	}
	answerJSON(w, entries)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storer.MaxWatchWait)
	defer cancel()
	obj, err := s.Store.Client().Watch(ctx, r.PathValue("key"), after)
	if errors.Is(err, context.DeadlineExceeded) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	answerObject(w, obj, err)
}

func answerObject(w http.ResponseWriter, obj storer.Object, err error) {
	if err != nil {
		answerError(w, err)
		return
	}
	w.Header().Set(storer.RevisionHeader, strconv.FormatUint(obj.Revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(obj.Value)
}

func answerError(w http.ResponseWriter, err error) {
	var (
		missing  *storer.NotFoundError
		conflict *storer.ConflictError
		unknown  *storer.UnknownOutcomeError
		limited  *storer.RateError
	)
	switch {
	case errors.As(err, &unknown):
		// Closes the connection without an answer.
		panic(http.ErrAbortHandler)
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &conflict):
		w.Header().Set(storer.RevisionHeader, strconv.FormatUint(conflict.Actual, 10))
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &limited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func answerJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) readFaults(w http.ResponseWriter, _ *http.Request) { answerJSON(w, s.Store.Faults()) }

func (s *Server) readCounts(w http.ResponseWriter, _ *http.Request) { answerJSON(w, s.Store.Counts()) }

func (s *Server) writeFaults(w http.ResponseWriter, r *http.Request) {
	var faults storer.Faults
	if decodeAdmin(w, r, &faults) {
		s.Store.SetFaults(faults)
		answerJSON(w, faults)
	}
}

func (s *Server) writeRates(w http.ResponseWriter, r *http.Request) {
	var rates storer.Rates
	if decodeAdmin(w, r, &rates) {
		s.Store.SetRates(rates)
		answerJSON(w, rates)
	}
}

func decodeAdmin(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
