package forwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/pkg/snapshotter"
)

// TestRequestCarriesWhatTheGateNeeds guards against a gate that weighs all firms of other
// nodes alike.
func TestRequestCarriesWhatTheGateNeeds(t *testing.T) {
	now := time.Now()
	sent := &exchanger.Request{
		ID: "1", Method: "GET", Path: "/", Service: "orders", Class: snapshotter.ClassShort, Firm: "paza", FirmRate: 360,
		WaitPastSoftDeadline: true, Deadline: now.Add(time.Second), Depth: 1, Attempt: 1,
	}
	got, err := decodeRequest(encodeRequest(sent), now)
	assert.NilError(t, err)
	assert.Equal(t, got.Firm, "paza")
	assert.Equal(t, got.FirmRate, 360)
	assert.Assert(t, got.WaitPastSoftDeadline)
}
