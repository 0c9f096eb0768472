package elector

import (
	"time"

	"gentianbarrow.example/internal/logger"
)

// Seen is a lease object as it was read. Revision 0 means that it does not exist.
type Seen struct {
	Record   Record
	Revision uint64
}

// LeasesRead answers a ReadLeases effect.
type LeasesRead struct {
	Now time.Time
	// Slots holds one entry for each slot, in order. Empty when Err is set.
	Slots []Seen
	Err   error
}

// LeaseWritten answers a WriteLease effect.
type LeaseWritten struct {
	Now      time.Time
	Record   Record
	Revision uint64
	// Err is nil when the write is known to have taken effect.
	Err error
}

// ReadLeases is the effect of reading every lease object of the data centre.
type ReadLeases struct{}

// WriteLease is the effect of one conditional update of a lease object.
type WriteLease struct {
	Record   Record
	Revision uint64
}

// Note is the effect of writing a log event.
type Note struct {
	Event  logger.Event
	Fields logger.Fields
}
