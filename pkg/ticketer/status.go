package ticketer

import (
	"context"
	"encoding/json"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// StatusPrefix is the prefix of the keys of statuses. The name of the data centre follows.
const StatusPrefix = "status/"

// StatusKey returns the key of a data centre's status.
func StatusKey(dataCentre string) string { return StatusPrefix + dataCentre }

// VersionCount is the number of nodes that run a version.
type VersionCount struct {
	Version uint64 `json:"version"`
	Nodes   int    `json:"nodes"`
}

// DataCentreStatus is the content of the object at StatusKey: which versions the
// nodes of a data centre run. One relay of the data centre writes it at a bounded
// rate that does not depend on the number of nodes.
type DataCentreStatus struct {
	DataCentre string `json:"data-centre"`
	// Epoch is the epoch of the writer's lease. A status never replaces one of a higher epoch.
	Epoch uint64 `json:"epoch"`
	// CountedAt is when the relay counted the nodes, by its own clock.
	CountedAt time.Time `json:"counted"`
	// ExpiresAt is when the counts become too old to be relied on.
	ExpiresAt time.Time `json:"lapses"`
	// Nodes is the number of nodes of the data centre, including those that run no version.
	Nodes int `json:"nodes"`
	// Versions counts the nodes by the version in force on them, greatest version first.
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

// WriteStatus replaces the status of a data centre with one read and one write.
// It returns nil without writing if the stored status has a higher epoch or
// another relay writes at the same time.
func WriteStatus(ctx context.Context, client storer.Client, s DataCentreStatus) error {
	key := StatusKey(s.DataCentre)
	obj, err := client.Get(ctx, key)
	if err != nil && !isNotFound(err) {
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
	if isConflict(err) {
		return nil
	}
	return err
}

// LoadStatuses returns the status of every data centre that ever wrote one, in
// order of name. It leaves out statuses that cannot be decoded.
func LoadStatuses(ctx context.Context, client storer.Client) ([]DataCentreStatus, error) {
	objects, err := client.List(ctx, StatusPrefix)
	if err != nil {
		return nil, err
	}
	var list []DataCentreStatus
	for _, listed := range objects {
		obj, err := client.Get(ctx, listed.Key)
		if err != nil {
			return nil, err
		}
		var s DataCentreStatus
		if json.Unmarshal(obj.Value, &s) == nil && StatusKey(s.DataCentre) == listed.Key {
			list = append(list, s)
		}
	}
	return list, nil
}
