package elector

import (
	"time"

	"gentianbarrow.example/internal/logger"
)

// StoredLease is a lease object as it was read. Revision 0 means that it does
// not exist.
type StoredLease struct {
	Record   Record
	Revision uint64
}

// LeasesRead is the result of a ReadLeases effect.
type LeasesRead struct {
	Now time.Time
	// Slots holds one entry for each slot, in order. It is empty if Err is set.
	Slots []StoredLease
	Err   error
}

// LeaseWritten is the result of a WriteLease effect.
type LeaseWritten struct {
	Now      time.Time
	Record   Record
	Revision uint64
	// Err is nil if the write is known to have taken effect.
	Err error
}

// ReadLeases is the effect of reading every lease object of the data centre.
type ReadLeases struct{}

// WriteLease is the effect of a conditional write of a lease object: it fails
// unless the object has the given revision.
type WriteLease struct {
	Record   Record
	Revision uint64
}

// WriteLog is the effect of writing a log event.
type WriteLog struct {
	Event  logger.Event
	Fields logger.Fields
}
