package gossiper

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

var stateToWire = map[blackboard.MemberStatus]wirepb.MemberState{
	blackboard.MemberAlive:   wirepb.MemberState_MEMBER_STATE_ALIVE,
	blackboard.MemberSuspect: wirepb.MemberState_MEMBER_STATE_SUSPECT,
	blackboard.MemberDead:    wirepb.MemberState_MEMBER_STATE_DEAD,
	blackboard.MemberLeft:    wirepb.MemberState_MEMBER_STATE_LEFT,
}

var stateFromWire = map[wirepb.MemberState]blackboard.MemberStatus{
	wirepb.MemberState_MEMBER_STATE_ALIVE:   blackboard.MemberAlive,
	wirepb.MemberState_MEMBER_STATE_SUSPECT: blackboard.MemberSuspect,
	wirepb.MemberState_MEMBER_STATE_DEAD:    blackboard.MemberDead,
	wirepb.MemberState_MEMBER_STATE_LEFT:    blackboard.MemberLeft,
}

var targetToWire = map[blackboard.TargetPhase]wirepb.TargetState{
	blackboard.TargetNone:     wirepb.TargetState_TARGET_STATE_NONE,
	blackboard.TargetCold:     wirepb.TargetState_TARGET_STATE_COLD,
	blackboard.TargetReady:    wirepb.TargetState_TARGET_STATE_READY,
	blackboard.TargetDraining: wirepb.TargetState_TARGET_STATE_DRAINING,
	blackboard.TargetFailed:   wirepb.TargetState_TARGET_STATE_FAILED,
}

var targetFromWire = map[wirepb.TargetState]blackboard.TargetPhase{
	wirepb.TargetState_TARGET_STATE_NONE:     blackboard.TargetNone,
	wirepb.TargetState_TARGET_STATE_COLD:     blackboard.TargetCold,
	wirepb.TargetState_TARGET_STATE_READY:    blackboard.TargetReady,
	wirepb.TargetState_TARGET_STATE_DRAINING: blackboard.TargetDraining,
	wirepb.TargetState_TARGET_STATE_FAILED:   blackboard.TargetFailed,
}

// statusPrecedence returns the precedence of a state within one incarnation: the greater one wins.
func statusPrecedence(s blackboard.MemberStatus) int {
	switch s {
	case blackboard.MemberSuspect:
		return 1
	case blackboard.MemberDead:
		return 2
	case blackboard.MemberLeft:
		return 3
	default:
		return 0
	}
}

// isGone reports whether a state ends a membership.
func isGone(s blackboard.MemberStatus) bool {
	return s == blackboard.MemberDead || s == blackboard.MemberLeft
}

// fullRecord returns a record with everything that is known of a member.
func fullRecord(m blackboard.Member) *wirepb.MemberRecord {
	record := &wirepb.MemberRecord{
		Host:        m.Host,
		Incarnation: m.Incarnation,
		State:       stateToWire[m.Status],
		Address:     m.Address,
		Rack:        m.Rack,
		Service:     m.Target.Service,
		Target:      targetToWire[m.Target.Phase],
		Slots:       uint32(m.Target.Slots),
		Revision:    m.Target.Revision,
	}
	if !m.ForgetAt.IsZero() {
		record.Forget = uint64(m.ForgetAt.UnixMicro())
	}
	return record
}

// rumourRecord returns the record of a member for a rumour. It is short for a
// member that is not alive, because nodes that do not know the member ignore it.
func rumourRecord(m blackboard.Member) *wirepb.MemberRecord {
	full := fullRecord(m)
	if m.Status == blackboard.MemberAlive {
		return full
	}
	return &wirepb.MemberRecord{
		Host:        full.GetHost(),
		Incarnation: full.GetIncarnation(),
		State:       full.GetState(),
		Forget:      full.GetForget(),
	}
}

// memberFromRecord converts a full record into a member of this node's data centre.
func memberFromRecord(r *wirepb.MemberRecord, dataCentre string, now time.Time) blackboard.Member {
	m := blackboard.Member{
		Host:        r.GetHost(),
		Address:     r.GetAddress(),
		DataCentre:  dataCentre,
		Rack:        r.GetRack(),
		Incarnation: r.GetIncarnation(),
		Status:      stateFromWire[r.GetState()],
		ChangedAt:   now,
		Target: blackboard.TargetRecord{
			Service:  r.GetService(),
			Phase:    targetFromWire[r.GetTarget()],
			Slots:    int(r.GetSlots()),
			Revision: r.GetRevision(),
		},
	}
	if r.GetForget() != 0 {
		m.ForgetAt = time.UnixMicro(int64(r.GetForget()))
	}
	return m
}

// bucketOf returns the index of the digest bucket that a host belongs to.
func bucketOf(host string) int {
	return int(xxhash.Sum64String(host) % blackboard.DigestBuckets)
}

// digestOf returns a digest of the fields of a member that every node must agree
// on; 0 for a member that is dead or has left.
func digestOf(m blackboard.Member) uint64 {
	if isGone(m.Status) || m.Host == "" {
		return 0
	}
	var buf [maxNameBytes + 16]byte
	n := copy(buf[:maxNameBytes], m.Host)
	binary.LittleEndian.PutUint64(buf[n:], m.Incarnation)
	binary.LittleEndian.PutUint64(buf[n+8:], m.Target.Revision)
	return xxhash.Sum64(buf[:n+16])
}

// tableDigest combines the digests of all buckets.
func tableDigest(buckets *[blackboard.DigestBuckets]uint64) uint64 {
	var sum uint64
	for _, b := range buckets {
		sum ^= b
	}
	return sum
}
