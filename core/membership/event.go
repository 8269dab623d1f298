package membership

import (
	"net/netip"
	"time"

	"auburnladder.example/core/vmlist"
)

// Kind is the kind of a message.
type Kind uint8

const (
	// Ping asks the receiver for an Ack.
	Ping Kind = iota + 1
	// PingReq asks the receiver to ping Target and to pass on its Ack.
	PingReq
	// Ack answers a Ping. With sequence 0 it answers nothing and only carries updates.
	Ack
)

// Message is one datagram between nodes.
type Message struct {
	Kind     Kind
	Sequence uint64
	// From is the VM of the sender.
	From string
	// Target is the VM that a Ping or PingReq is meant for, or that an Ack speaks of.
	Target  string
	Updates []Update
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Received is a message from another node.
type Received struct {
	Message Message
	// Source is the address that the datagram came from.
	Source netip.AddrPort
}

// ListPublished is a version of the published VM list.
type ListPublished struct {
	List *vmlist.List
}

// SelfLeaving says whether this node's own VM takes no new work.
type SelfLeaving struct {
	Leaving bool
}

func (Tick) event()          {}
func (Received) event()      {}
func (ListPublished) event() {}
func (SelfLeaving) event()   {}

// Action is an output of Machine.Step.
type Action interface{ action() }

// Send asks for a message to be sent.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Publish hands out a new view.
type Publish struct {
	View *View
}

// Resync says that the process was paused for Gap and that its knowledge is old. The
// node must ask its peers for what it missed before it serves on.
type Resync struct {
	Gap time.Duration
}

func (Send) action()    {}
func (Publish) action() {}
func (Resync) action()  {}
