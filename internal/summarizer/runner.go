package summarizer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
)

// StreamKind is the kind of the streams on which one node follows another's summaries.
const StreamKind = "summary"

const (
	// pushPeriod is the time between two checks for deltas that a follower lacks.
	pushPeriod = 500 * time.Millisecond
	// maxStreamSilence is how long a followed node may send nothing before its stream ends.
	maxStreamSilence = 3 * heartbeatPeriod
	// findTimeout is how long a search for relays may take.
	findTimeout = 10 * time.Second
	// maxFollowers bounds the streams that a node serves concurrently.
	maxFollowers = 128

	maxDataCentres       = 256
	maxServices          = 1 << 14
	maxNameBytes         = 128
	maxHostsPerService   = 16
	maxCount             = 1 << 24
	maxEpochOrSequence   = 1 << 60
	maxAgeMillis         = 1 << 36
	maxSummaryDeltaBytes = encoder.MaxControlBytes
)

// InvalidDeltaError reports a field of a delta that is out of range. The delta is discarded as a whole.
type InvalidDeltaError struct{ Field string }

func (e *InvalidDeltaError) Error() string {
	return fmt.Sprintf("summary delta: field %q is out of range", e.Field)
}

// stream is a running Follow effect.
type stream struct {
	cancel context.CancelFunc
	id     int
}

// runner executes effects.
type runner struct {
	Config
	mu sync.Mutex
	// streams holds the running streams by key. Guarded by mu.
	streams map[string]stream
	// lastStreamID is the id of the stream that was started last. Guarded by mu.
	lastStreamID int
}

func (r *runner) run(ctx context.Context, e blackboard.Effect, post blackboard.Post) {
	switch e := e.(type) {
	case FindRelays:
		r.findRelays(ctx, post)
	case Unfollow:
		r.replaceStream(e.Key, nil)
	case Follow:
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		id := r.replaceStream(e.Key, cancel)
		err := r.follow(ctx, e, post)
		if r.removeIfCurrent(e.Key, id) {
			r.Log.Write(logger.SummaryFailed, logger.Fields{Peer: e.Address, DataCentre: e.Only, Err: err})
			post(blackboard.SummaryStreamEnded{Key: e.Key, Address: e.Address, Now: r.Now()})
		}
	}
}

func (r *runner) findRelays(ctx context.Context, post blackboard.Post) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	relays, err := r.FindRelays(ctx)
	if err != nil {
		r.Log.Write(logger.RelaysNotFound, logger.Fields{Err: err})
		relays = nil
	}
	post(blackboard.RelaysFound{Relays: relays, Now: r.Now()})
}

// replaceStream cancels the stream of a key, and registers a new one unless
// cancel is nil. It returns the id of the new stream.
func (r *runner) replaceStream(key string, cancel context.CancelFunc) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, found := r.streams[key]; found {
		old.cancel()
		delete(r.streams, key)
	}
	if cancel == nil {
		return 0
	}
	r.lastStreamID++
	r.streams[key] = stream{cancel: cancel, id: r.lastStreamID}
	return r.lastStreamID
}

// removeIfCurrent removes a stream that ended by itself. It returns false if the
// stream was cancelled or replaced before.
func (r *runner) removeIfCurrent(key string, id int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams[key].id != id {
		return false
	}
	delete(r.streams, key)
	return true
}

// follow posts deltas until the stream ends.
func (r *runner) follow(ctx context.Context, e Follow, post blackboard.Post) error {
	s, err := r.Open(ctx, e.Address)
	if err != nil {
		return err
	}
	defer s.Close() //nolint:errcheck // the stream is no longer used
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	request := &wirepb.SummaryRequest{DataCentre: e.Self.DataCentre, Only: e.Only}
	for dc, mark := range e.Marks {
		request.Marks = append(request.Marks, &wirepb.SummaryMark{
			DataCentre: dc, Epoch: mark.Epoch, Sequence: mark.Sequence,
		})
	}
	if err := encoder.Write(s, request, encoder.MaxHeaderBytes); err != nil {
		return eris.Wrap(err, "request summaries")
	}
	for {
		if err := s.SetReadDeadline(r.Now().Add(maxStreamSilence)); err != nil {
			return err
		}
		var delta wirepb.SummaryDelta
		if err := encoder.Read(s.Reader, &delta, maxSummaryDeltaBytes); err != nil {
			return eris.Wrap(err, "read summary delta")
		}
		if err := CheckDelta(&delta); err != nil {
			return err
		}
		post(blackboard.SummaryReceived{Delta: &delta, Now: r.Now()})
	}
}

// CheckDelta validates a delta from a peer.
func CheckDelta(d *wirepb.SummaryDelta) error {
	switch {
	case d.GetDataCentre() == "" || len(d.GetDataCentre()) > maxNameBytes:
		return &InvalidDeltaError{Field: "data-centre"}
	case len(d.GetRegion()) > maxNameBytes:
		return &InvalidDeltaError{Field: "region"}
	case d.GetEpoch() == 0 || d.GetEpoch() > maxEpochOrSequence:
		return &InvalidDeltaError{Field: "epoch"}
	case d.GetSequence() > maxEpochOrSequence || d.GetBase() > d.GetSequence():
		return &InvalidDeltaError{Field: "sequence"}
	case d.GetAge() > maxAgeMillis:
		return &InvalidDeltaError{Field: "age"}
	case len(d.GetServices()) > maxServices:
		return &InvalidDeltaError{Field: "services"}
	}
	for _, s := range d.GetServices() {
		if s.GetService() == "" || len(s.GetService()) > maxNameBytes ||
			s.GetTargets() > maxCount || s.GetSlots() > maxCount || len(s.GetHosts()) > maxHostsPerService {
			return &InvalidDeltaError{Field: "services"}
		}
	}
	return nil
}

// Handler returns the handler of streams of kind StreamKind. It sends a follower
// the deltas that it lacks until the stream ends. Streams beyond maxFollowers
// are closed at once.
func Handler(read func() *blackboard.State, post blackboard.Post) linker.Handler {
	slots := make(chan struct{}, maxFollowers)
	return func(ctx context.Context, s *linker.Stream) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			return
		}
		var request wirepb.SummaryRequest
		if err := encoder.Read(s.Reader, &request, encoder.MaxHeaderBytes); err != nil {
			return
		}
		if len(request.GetMarks()) > maxDataCentres {
			return
		}
		for _, m := range request.GetMarks() {
			if m.GetDataCentre() == read().Self.DataCentre && m.GetEpoch() <= maxEpochOrSequence {
				post(blackboard.SummaryEpochReported{Epoch: m.GetEpoch()})
			}
		}
		_ = serveFollower(ctx, s, read, &request)
	}
}

// serveFollower sends deltas until the follower is gone. It returns as soon as
// the follower requests a single summary that this node does not publish.
func serveFollower(ctx context.Context, s *linker.Stream, read func() *blackboard.State, request *wirepb.SummaryRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer s.Close() //nolint:errcheck // the stream is no longer used
	group.Go(func() {
		defer cancel()
		_, _ = s.Reader.ReadByte() // returns only when the follower or this node closes the stream
	})
	marks := Marks{}
	for _, m := range request.GetMarks() {
		marks[m.GetDataCentre()] = Mark{m.GetEpoch(), m.GetSequence()}
	}
	ticker := time.NewTicker(pushPeriod)
	defer ticker.Stop()
	for {
		state := read()
		if request.GetOnly() != "" && !isPublishing(state, request.GetOnly()) {
			return nil
		}
		var deltas []*wirepb.SummaryDelta
		deltas, marks = Deltas(state, marks, request.GetDataCentre(), request.GetOnly(), time.Now())
		for _, delta := range deltas {
			if err := encoder.Write(s, delta, maxSummaryDeltaBytes); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func isPublishing(s *blackboard.State, dataCentre string) bool {
	return s.Self.DataCentre == dataCentre && s.Members.Summary != nil && s.Members.Summary.Own.Epoch > 0
}
