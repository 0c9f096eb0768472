package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"gentianbarrow.example/internal/linker"
)

var (
	linkBytes = Metric{
		Name: "gentian_link_bytes_total", Labels: []string{"traffic", "direction"},
		Help: "Bytes on connections between nodes, without the headers of TCP and IP. Accepted connections tell control " +
			"from requests by their first stream; what came before it is unknown.",
	}
	linkTransfers = Metric{
		Name: "gentian_link_transfers_total", Labels: []string{"traffic", "direction"},
		Help: "Writes to and reads from connections between nodes.",
	}
	packetBytes = Metric{
		Name: "gentian_packet_bytes_total", Labels: []string{"direction"},
		Help: "Bytes of membership packets, without the headers of UDP and IP.",
	}
	packets = Metric{
		Name: "gentian_packets_total", Labels: []string{"direction"},
		Help: "Membership packets.",
	}
)

// Traffic counts the bytes between nodes.
type Traffic struct {
	linkBytes, linkTransfers, packetBytes, packets *prometheus.CounterVec
}

// NewTraffic registers the counters.
func NewTraffic(registry prometheus.Registerer) *Traffic {
	t := &Traffic{
		linkBytes: counter(linkBytes), linkTransfers: counter(linkTransfers),
		packetBytes: counter(packetBytes), packets: counter(packets),
	}
	registry.MustRegister(t.linkBytes, t.linkTransfers, t.packetBytes, t.packets)
	return t
}

// Link counts one write to or read from a connection.
func (t *Traffic) Link(traffic linker.Traffic, d linker.Direction, bytes int) {
	t.linkBytes.WithLabelValues(string(traffic), string(d)).Add(float64(bytes))
	t.linkTransfers.WithLabelValues(string(traffic), string(d)).Inc()
}

// Packet counts one packet.
func (t *Traffic) Packet(d linker.Direction, bytes int) {
	t.packetBytes.WithLabelValues(string(d)).Add(float64(bytes))
	t.packets.WithLabelValues(string(d)).Inc()
}
