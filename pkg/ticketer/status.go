package ticketer

import (
	"context"
	"encoding/json"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// StatusPrefix is followed by the name of a data centre.
const StatusPrefix = "status/"

// StatusKey returns the key of a data centre's status.
func StatusKey(dataCentre string) string { return StatusPrefix + dataCentre }

// VersionCount tells how many nodes run a version.
type VersionCount struct {
	Version uint64 `json:"version"`
	Nodes   int    `json:"nodes"`
}

// DataCentreStatus is the content of the object at StatusKey. One relay of the
// data centre writes it at a bounded rate, whatever the number of nodes.
type DataCentreStatus struct {
	DataCentre string `json:"data-centre"`
	// Epoch is that of the writer's lease; a lower one never replaces a higher.
	Epoch uint64 `json:"epoch"`
	// Counted is when the relay counted, by its clock.
	CountedAt time.Time `json:"counted"`
	// Lapses is when the counts are too old to be relied on.
	ExpiresAt time.Time `json:"lapses"`
	// Nodes is how many nodes the data centre has, those that run no version included.
	Nodes int `json:"nodes"`
	// Versions counts nodes by the version in force on them, greatest first.
	Versions []VersionCount `json:"versions"`
}

// InForce returns how many nodes run the given version or a later one.
func (s DataCentreStatus) InForce(version uint64) int {
	n := 0
	for _, c := range s.Versions {
		if c.Version >= version {
			n += c.Nodes
		}
	}
	return n
}

// WriteStatus replaces the status of a data centre: one read and one write. A
// status with a higher epoch, or a write by another relay at the same time, is
// left as it is without an error.
func WriteStatus(ctx context.Context, client storer.Client, s DataCentreStatus) error {
	key := StatusKey(s.DataCentre)
	obj, err := client.Get(ctx, key)
	if err != nil && !notFound(err) {
		return err
	}
	var old DataCentreStatus
	if obj.Revision != 0 && json.Unmarshal(obj.Value, &old) == nil && old.Epoch > s.Epoch {
		return nil
	}
	value, err := json.Marshal(s)
	if err != nil {
		return &snapshotter.MalformedError{Subject: key, Cause: err}
	}
	_, err = client.Put(ctx, key, value, obj.Revision)
	if conflicts(err) {
		return nil
	}
	return err
}

// LoadStatuses reads the status of every data centre that ever had one, in
// order of name. A status that cannot be read as such is left out.
func LoadStatuses(ctx context.Context, client storer.Client) ([]DataCentreStatus, error) {
	objects, err := client.List(ctx, StatusPrefix)
	if err != nil {
		return nil, err
	}
	var list []DataCentreStatus
	for _, o := range objects {
		obj, err := client.Get(ctx, o.Key)
		if err != nil {
			return nil, err
		}
		var s DataCentreStatus
		if json.Unmarshal(obj.Value, &s) == nil && StatusKey(s.DataCentre) == o.Key {
			list = append(list, s)
		}
	}
	return list, nil
}
