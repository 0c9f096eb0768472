package blackboard

// HeardVersion tells that a peer of this data centre runs a version. The
// gossiper posts one for each hint that it hears.
type PeerVersionReported struct {
	Host string
	// Address of the peer for other nodes, as ip:port.
	Address string
	Version uint64
}
