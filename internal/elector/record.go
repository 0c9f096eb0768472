package elector

import (
	"encoding/json"
	"fmt"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// Record is the value of a lease object.
type Record struct {
	Slot int `json:"slot"`
	// Epoch increases by one each time that the slot changes hands.
	Epoch   uint64 `json:"epoch"`
	Host    string `json:"host"`
	Address string `json:"address"`
	// Incarnation distinguishes the holder from an earlier process on the same
	// host.
	Incarnation uint64 `json:"incarnation"`
	// Expires is the time at which the lease expires, by the holder's clock.
	Expires time.Time `json:"expires"`
}

// MalformedLeaseError reports that a lease object cannot be decoded. Such a
// lease counts as expired.
type MalformedLeaseError struct {
	Key   string
	Cause error
}

func (e *MalformedLeaseError) Error() string {
	return fmt.Sprintf("lease %q is malformed: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedLeaseError) Unwrap() error { return e.Cause }

// Key returns the key of a lease object.
func Key(dataCentre string, slot int) string {
	return fmt.Sprintf("lease/%s/%d", dataCentre, slot)
}

func encodeRecord(r Record) ([]byte, error) { return json.Marshal(r) }

func decodeRecord(key string, value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, &MalformedLeaseError{Key: key, Cause: err}
	}
	return r, nil
}

func (r Record) toRelay() blackboard.Relay {
	return blackboard.Relay{Slot: r.Slot, Epoch: r.Epoch, Host: r.Host, Address: r.Address, Expires: r.Expires}
}

func (r Record) isHeldBy(self blackboard.Self) bool {
	return r.Host == self.Host && r.Incarnation == self.Incarnation
}
