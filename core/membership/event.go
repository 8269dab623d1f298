package membership

import (
	"net/netip"
	"time"

	"auburnladder.example/core/vmlist"
)

// Kind is the kind of a message.
type Kind uint8

const (
	// Ping requests an Ack from the receiver.
	Ping Kind = iota + 1
	// PingReq is an indirect probe: it requests the receiver to ping Target and to
	// forward the Ack.
	PingReq
	// Ack is the reply to a Ping. With sequence 0 it acknowledges nothing and only
	// carries updates.
	Ack
)

// Message is one datagram between nodes.
type Message struct {
	Kind Kind
	// Sequence matches an Ack to its Ping or PingReq.
	Sequence uint64
	// From is the VM ID of the sender.
	From string
	// Target is the ID of the VM to be probed in a Ping or PingReq, or of the VM that
	// acknowledged in an Ack.
	Target string
	// Updates are the piggybacked updates, at most Config.MaxUpdateBytes in size.
	Updates []Update
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick advances time. The driver sends it every Config.TickInterval.
type Tick struct{}

// Received is a message from another node.
type Received struct {
	Message Message
	// Source is the address that the datagram came from.
	Source netip.AddrPort
}

// ListPublished is a new revision of the published VM list.
type ListPublished struct {
	List *vmlist.List
}

// SelfLeaving reports whether the local VM is leaving, that is, accepts no new work.
type SelfLeaving struct {
	Leaving bool
}

func (Tick) event()          {}
func (Received) event()      {}
func (ListPublished) event() {}
func (SelfLeaving) event()   {}

// Action is an output of Machine.Step.
type Action interface{ action() }

// Send requests the driver to send a message.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Publish provides a new view to the driver.
type Publish struct {
	View *View
}

// Resync reports that the process was paused for Gap and that its state may be stale.
// The node must fetch the changes it missed from its peers before it continues serving.
type Resync struct {
	Gap time.Duration
}

func (Send) action()    {}
func (Publish) action() {}
func (Resync) action()  {}
