package encoder

import (
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/wirepb"
)

// EncodeLoad returns the message for the load of a target. The incarnation is that
// of the process of the target's node which reports it.
func EncodeLoad(l limiter.Load, incarnation uint64) *wirepb.TargetLoad {
	return &wirepb.TargetLoad{
		Slots: uint32(l.Slots), InFlight: uint32(l.InFlight), Queued: uint32(l.Queued),
		Draining: l.Draining, Incarnation: incarnation, ServiceMicro: l.Service.Microseconds(),
		NodeLateMicro:  l.NodeLateness.Microseconds(),
		LinkQueueMicro: l.LinkQueue.Microseconds(),
		CallWaitMicro:  l.CallWait.Microseconds(),
	}
}

// DecodeLoad returns the load in a message, or nil if the message is nil.
func DecodeLoad(m *wirepb.TargetLoad) *limiter.Load {
	if m == nil {
		return nil
	}
	return &limiter.Load{
		Slots: int(m.GetSlots()), InFlight: int(m.GetInFlight()), Queued: int(m.GetQueued()),
		Draining: m.GetDraining(), Service: time.Duration(m.GetServiceMicro()) * time.Microsecond,
		NodeLateness: time.Duration(max(m.GetNodeLateMicro(), 0)) * time.Microsecond,
		LinkQueue:    time.Duration(m.GetLinkQueueMicro()) * time.Microsecond,
		CallWait:     time.Duration(max(m.GetCallWaitMicro(), 0)) * time.Microsecond,
	}
}
