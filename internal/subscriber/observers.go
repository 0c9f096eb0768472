package subscriber

import (
	"maps"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/poller"
)

const (
	// maxObservers is how many nodes of a data centre observe the others, so that two
	// of them may fail at once.
	maxObservers = 3
	// observeDelay is how long a node that starts gives itself to find the nodes of its data
	// centre, so that not all nodes observe when many start together.
	observeDelay = 1200 * time.Millisecond
	// unobserveDelay is how long a node goes on observing after others have come before
	// it, so that these have views by then.
	unobserveDelay = 3 * time.Second
)

// chooseObservations starts and ends observations so that this node observes all other
// data centres while it is one of the first of its own.
func chooseObservations(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	if s.Members.ObserveAt.IsZero() {
		s.Members.ObserveAt = now.Add(observeDelay)
	}
	if now.Before(s.Members.ObserveAt) {
		return s, nil
	}
	switch {
	case isObserver(&s):
		s.Members.UnobserveAt = time.Time{}
		return startObservations(s)
	case len(s.Members.Observed) == 0:
		return s, nil
	case s.Members.UnobserveAt.IsZero():
		s.Members.UnobserveAt = now.Add(unobserveDelay)
		return s, nil
	case now.Before(s.Members.UnobserveAt):
		return s, nil
	}
	return endObservations(s, now)
}

// isObserver reports whether fewer than maxObservers live nodes of this data centre come before this one.
func isObserver(s *blackboard.State) bool {
	before := 0
	for host, m := range s.Members.ByHost {
		if m.DataCentre == s.Self.DataCentre && m.Status == blackboard.MemberAlive && poller.Precedes(host, m.LinkMbit, &s.Self) {
			before++
		}
	}
	return before < maxObservers
}

func startObservations(s blackboard.State) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	observed := s.Members.Observed
	for _, m := range s.Members.ByHost {
		if m.DataCentre == s.Self.DataCentre || observed[m.DataCentre] {
			continue
		}
		if len(effects) == 0 {
			observed = maps.Clone(observed)
			if observed == nil {
				observed = map[string]bool{}
			}
		}
		observed[m.DataCentre] = true
		effects = append(effects, observe{dataCentre: m.DataCentre})
	}
	s.Members.Observed = observed
	return s, effects
}

func endObservations(s blackboard.State, now time.Time) (blackboard.State, []blackboard.Effect) {
	var effects []blackboard.Effect
	for dataCentre := range s.Members.Observed {
		key := blackboard.ViewKey{Source: s.Self.Host, DataCentre: dataCentre}
		s = interruptView(s, blackboard.ViewInterrupted{ViewKey: key, Now: now})
		effects = append(effects, unobserve{dataCentre: dataCentre})
	}
	s.Members.Observed, s.Members.UnobserveAt = nil, time.Time{}
	return s, effects
}
