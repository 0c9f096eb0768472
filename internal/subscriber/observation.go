package subscriber

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/internal/wirepb"
)

const (
	// observeTimeout bounds the time to open a stream to a node of another data centre.
	observeTimeout = 500 * time.Millisecond
	// observeRetryDelay is the pause after a node of another data centre could not be observed.
	observeRetryDelay = 100 * time.Millisecond
	// viewInterval is the longest time between two messages on a stream to an observer.
	// Together with viewSilenceTimeout and viewHold it makes a data centre that is cut off
	// count as unreachable as early as a single node does.
	viewInterval = 500 * time.Millisecond
	// viewSilenceTimeout is how long an observed node may send nothing before another is observed.
	viewSilenceTimeout = 1500 * time.Millisecond
)

// NoViewError reports that an observed node sent no view of its data centre first.
type NoViewError struct{ Host string }

func (e *NoViewError) Error() string {
	return fmt.Sprintf("node %s sent no view of its data centre", e.Host)
}

// observe keeps a stream to some node of another data centre open until the observation ends.
func (sub *Subscriber) observe(ctx context.Context, dataCentre string, post blackboard.Post) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub.startObservation(dataCentre, cancel)
	key := blackboard.ViewKey{Source: sub.cfg.Self.Host, DataCentre: dataCentre}
	failures := map[string]int{}
	for ctx.Err() == nil {
		source, found := sub.chooseSource(dataCentre, failures)
		if !found {
			poller.Sleep(ctx, observeRetryDelay)
			continue
		}
		received, err := sub.receiveView(ctx, key, source, post)
		if ctx.Err() != nil {
			return
		}
		if received || len(failures) == 0 {
			sub.cfg.Log.Write(logger.ObservationLost, logger.Fields{Host: source.Host, DataCentre: dataCentre, Err: err})
		}
		post(blackboard.ViewInterrupted{ViewKey: key, Now: sub.cfg.Now()})
		if received {
			clear(failures)
		}
		failures[source.Host]++
		if !received {
			poller.Sleep(ctx, observeRetryDelay)
		}
	}
}

func (sub *Subscriber) startObservation(dataCentre string, cancel context.CancelFunc) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if earlier, ok := sub.observations[dataCentre]; ok {
		earlier()
	}
	sub.observations[dataCentre] = cancel
}

func (sub *Subscriber) endObservation(dataCentre string) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if cancel, ok := sub.observations[dataCentre]; ok {
		cancel()
		delete(sub.observations, dataCentre)
	}
}

// chooseSource returns the node of a data centre to observe next: one that failed least
// often, that is alive, and by a hash that spreads the observers over the nodes.
func (sub *Subscriber) chooseSource(dataCentre string, failures map[string]int) (blackboard.Member, bool) {
	var best blackboard.Member
	found := false
	for _, m := range sub.cfg.State().Members.ByHost {
		if m.DataCentre != dataCentre {
			continue
		}
		if !found || sub.compareSources(m, best, failures) < 0 {
			best, found = m, true
		}
	}
	return best, found
}

func (sub *Subscriber) compareSources(a, b blackboard.Member, failures map[string]int) int {
	return cmp.Or(
		cmp.Compare(failures[a.Host], failures[b.Host]),
		cmp.Compare(lifeRank(a), lifeRank(b)),
		cmp.Compare(sub.sourceHash(a.Host), sub.sourceHash(b.Host)),
		strings.Compare(a.Host, b.Host),
	)
}

func lifeRank(m blackboard.Member) int {
	if m.Status == blackboard.MemberAlive {
		return 0
	}
	return 1
}

func (sub *Subscriber) sourceHash(host string) uint64 {
	return xxhash.Sum64String(sub.cfg.Self.Host + " " + host)
}

// receiveView posts what a node of another data centre reports of it until the stream
// ends. It reports whether a view was received.
func (sub *Subscriber) receiveView(ctx context.Context, key blackboard.ViewKey, source blackboard.Member, post blackboard.Post) (received bool, err error) {
	request := &wirepb.SubscribeRequest{
		Self: encodeRecord(sub.cfg.Self), Host: source.Host, WantsDataCentre: true,
		Departures: sub.departuresFor(source.Host, source.DataCentre),
	}
	s, end, err := sub.openUpdates(ctx, source.Address, request, observeTimeout)
	if err != nil {
		return false, err
	}
	defer end()
	decoder := newViewDecoder()
	for {
		if err := s.SetReadDeadline(time.Now().Add(viewSilenceTimeout)); err != nil {
			return received, err
		}
		var m wirepb.NodeUpdate
		if err := encoder.Read(s.Reader, &m, encoder.MaxControlBytes); err != nil {
			return received, err
		}
		if m.GetHost() != "" && m.GetHost() != source.Host {
			return received, &HostMismatchError{Want: source.Host, Got: m.GetHost()}
		}
		isView := func(v *wirepb.DataCentreView) bool { return v.GetDataCentre() == key.DataCentre }
		if !received && !slices.ContainsFunc(m.GetViews(), isView) {
			return false, &NoViewError{Host: source.Host}
		}
		if !received {
			sub.cfg.Log.Write(logger.DataCentreObserved, logger.Fields{Host: source.Host, DataCentre: key.DataCentre})
		}
		received = true
		sub.postKnown(&m, post)
		sub.postDepartures(m.GetDepartures(), source.Host, post)
		for _, v := range m.GetViews() {
			if isView(v) {
				post(decoder.decode(key, v, sub.cfg.Now()))
			}
		}
		if m.GetHost() != "" {
			post(sub.decodeUpdate(&m))
		}
	}
}
