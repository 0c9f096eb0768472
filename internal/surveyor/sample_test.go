package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadMetrics(t *testing.T) {
	var s sample
	s.readMetrics([]byte(`# HELP gentian_link_bytes_total Bytes.
gentian_link_bytes_total{direction="sent",traffic="control"} 1000
gentian_link_bytes_total{direction="sent",traffic="unknown"} 10
gentian_link_bytes_total{direction="sent",traffic="bulk"} 1e+06
gentian_link_bytes_total{direction="received",traffic="control"} 700
gentian_link_transfers_total{direction="sent",traffic="control"} 5
gentian_packet_bytes_total{direction="sent"} 300
gentian_packets_total{direction="sent"} 2
go_goroutines 12
`))
	t.Run("sent bytes are those of control with their headers", func(t *testing.T) {
		assert.Equal(t, s.sentBytes(), float64(1010+5*tcpHeaderBytes+300+2*udpHeaderBytes))
	})
	t.Run("received bytes are apart", func(t *testing.T) {
		assert.Equal(t, s.receivedBytes(), 700.0)
	})
}

func TestParseNode(t *testing.T) {
	t.Run("a node", func(t *testing.T) {
		n, err := parseNode("buc-a-1 42 127.0.0.1:10003\n")
		assert.NilError(t, err)
		assert.Equal(t, n, node{host: "buc-a-1", pid: 42, admin: "127.0.0.1:10003"})
	})
	t.Run("a line without one", func(t *testing.T) {
		_, err := parseNode("buc-a-1 x 127.0.0.1:10003")
		assert.ErrorType(t, err, &NodeLineError{})
	})
}

func TestQuantile(t *testing.T) {
	values := []float64{5, 1, 4, 2, 3}
	assert.Equal(t, quantile(values, 0.5), 3.0)
	assert.Equal(t, quantile(values, 0.99), 5.0)
	assert.Equal(t, quantile(nil, 0.5), 0.0)
}
