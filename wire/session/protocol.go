package session

const (
	// Protocol is the version of the messages between nodes that this node speaks, as it says in each Hello.
	Protocol = protocolProceed
	// protocolProceed is the first version whose nodes reply to a call with await_proceed before it is run.
	protocolProceed = 2
)

// SetPeerProtocol records the version that the other end said in its Hello.
func (s *Session) SetPeerProtocol(version uint32) { s.peerProtocol.Store(version) }

// PeerProceeds reports whether the other end is known to reply to a call with await_proceed.
func (s *Session) PeerProceeds() bool { return s.peerProtocol.Load() >= protocolProceed }
