package subscriber

import (
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// ownReading returns the effect that tells others of a reading by this node. Readings of
// other nodes are not passed on: each node has a stream to every other one of its data
// centre.
func ownReading(s *blackboard.State, msg blackboard.ConfigReadingDone) []blackboard.Effect {
	if msg.Host != "" {
		return nil
	}
	reading := &wirepb.ConfigReading{Revision: msg.Revision, Era: msg.Era}
	if s.Config.Running != nil {
		reading.Version = s.Config.Running.Version
	}
	return []blackboard.Effect{tellReading{reading: reading}}
}

func (sub *Subscriber) tellReading(reading *wirepb.ConfigReading) {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.reading = reading
	sub.readings.notify()
}

// nextReading returns the latest reading and a channel that is closed by the next one. The
// channel is nil if the subscriber is not told of readings.
func (f *feed) nextReading() (latest *wirepb.ConfigReading, next <-chan struct{}) {
	if !f.sameDataCentre {
		return nil, nil
	}
	f.sub.mu.Lock()
	defer f.sub.mu.Unlock()
	return f.sub.reading, f.sub.readings.wait()
}

// postReading posts that another node has read the configuration, if it says so.
func (sub *Subscriber) postReading(m *wirepb.ConfigReading, host string, post blackboard.Post) {
	if m == nil {
		return
	}
	post(blackboard.ConfigReadingDone{
		Host: host, Revision: m.GetRevision(), Era: m.GetEra(), Version: m.GetVersion(), Now: sub.cfg.Now(),
	})
}
