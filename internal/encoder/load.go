package encoder

import (
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/wirepb"
)

// Load returns the message that tells of a target's load at a process of its node.
func EncodeLoad(l limiter.Load, incarnation uint64) *wirepb.TargetLoad {
	return &wirepb.TargetLoad{
		Slots: uint32(l.Slots), InFlight: uint32(l.InFlight), Queued: uint32(l.Queued),
		Draining: l.Draining, Incarnation: incarnation, ServiceMicro: l.Service.Microseconds(),
	}
}

// LoadOf returns what a message tells; nil when there is none.
func DecodeLoad(m *wirepb.TargetLoad) *limiter.Load {
	if m == nil {
		return nil
	}
	return &limiter.Load{
		Slots: int(m.GetSlots()), InFlight: int(m.GetInFlight()), Queued: int(m.GetQueued()),
		Draining: m.GetDraining(), Service: time.Duration(m.GetServiceMicro()) * time.Microsecond,
	}
}
