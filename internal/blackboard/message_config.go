package blackboard

// PeerVersionReported reports that a peer of this data centre runs a version. The
// gossiper posts one for each gossip packet that carries a version.
type PeerVersionReported struct {
	Host string
	// Address is the peer's address for other nodes, as ip:port.
	Address string
	Version uint64
}
