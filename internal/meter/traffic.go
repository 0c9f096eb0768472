package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"gentianbarrow.example/internal/linker"
)

var (
	linkBytes = Metric{
		Name: "gentian_link_bytes_total", Labels: []string{"traffic", "direction"},
		Help: "Bytes on connections between nodes, without TCP and IP headers. An accepted connection counts as control " +
			"or requests by the kind of its first stream; its bytes before that stream count as unknown.",
	}
	linkTransfers = Metric{
		Name: "gentian_link_transfers_total", Labels: []string{"traffic", "direction"},
		Help: "Writes to and reads from connections between nodes.",
	}
	packetBytes = Metric{
		Name: "gentian_packet_bytes_total", Labels: []string{"direction"},
		Help: "Bytes of membership packets, without UDP and IP headers.",
	}
	packets = Metric{
		Name: "gentian_packets_total", Labels: []string{"direction"},
		Help: "Membership packets.",
	}
)

// Traffic holds the counters of the traffic between nodes.
type Traffic struct {
	linkBytes, linkTransfers, packetBytes, packets *prometheus.CounterVec
}

// NewTraffic registers the counters.
func NewTraffic(registry prometheus.Registerer) *Traffic {
	t := &Traffic{
		linkBytes: newCounter(linkBytes), linkTransfers: newCounter(linkTransfers),
		packetBytes: newCounter(packetBytes), packets: newCounter(packets),
	}
	registry.MustRegister(t.linkBytes, t.linkTransfers, t.packetBytes, t.packets)
	return t
}

// CountTransfer counts one write to or read from a connection between nodes.
func (t *Traffic) CountTransfer(traffic linker.Traffic, d linker.Direction, bytes int) {
	t.linkBytes.WithLabelValues(string(traffic), string(d)).Add(float64(bytes))
	t.linkTransfers.WithLabelValues(string(traffic), string(d)).Inc()
}

// CountPacket counts one membership packet.
func (t *Traffic) CountPacket(d linker.Direction, bytes int) {
	t.packetBytes.WithLabelValues(string(d)).Add(float64(bytes))
	t.packets.WithLabelValues(string(d)).Inc()
}
