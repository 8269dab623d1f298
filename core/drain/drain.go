// Package drain decides how a node takes its backend server out of service: refuse new
// work, let requests in flight end, tell the server to stop, exit.
//
// Machine is pure: the driver passes in the time and the events and carries out the
// actions. It is not safe for concurrent use; one goroutine owns it.
package drain

import (
	"time"

	"auburnladder.example/core/mesh"
)

// Reason is a signal that asks for the drain.
type Reason string

const (
	// ReasonTerminate is a SIGTERM to the node: stop the server and exit.
	ReasonTerminate Reason = "terminate"
	// ReasonRestart is a planned restart of the node alone: the server stays.
	ReasonRestart Reason = "restart"
	// ReasonListed is the mark "leaving" in the VM list.
	ReasonListed Reason = "listed"
	// ReasonServer is the server's own drain signal on its drain path.
	ReasonServer Reason = "server"
)

// withdrawable reports whether the signal can be taken back.
func (r Reason) withdrawable() bool {
	return r == ReasonListed || r == ReasonServer
}

// State is the stage of the drain.
type State string

const (
	// Serving takes new work.
	Serving State = "serving"
	// Refusing takes no new work and waits until peers know.
	Refusing State = "refusing"
	// WaitingInFlight waits for requests in flight to end.
	WaitingInFlight State = "waiting_in_flight"
	// StoppingServer waits for the server's answer to the stop request.
	StoppingServer State = "stopping_server"
	// Done means that the process is to exit.
	Done State = "done"
)

// Event is something that the driver saw.
type Event interface{ event() }

// Signal asks for the drain.
type Signal struct{ Reason Reason }

// Withdraw takes back a signal: the VM is no longer listed as leaving, or the server's
// drain path answers as usual again.
type Withdraw struct{ Reason Reason }

// InFlight reports the number of requests in flight. Send it on every change, and at
// least once after the actions of a Signal were carried out.
type InFlight struct{ Count int }

// Contract reports the stop contract of the release in force.
type Contract struct{ Stop mesh.Stop }

// StopEnded reports that the stop request was answered or failed.
type StopEnded struct{}

// Tick lets time pass. Send it, or any other event, at Machine.Wake at the latest.
type Tick struct{}

func (Signal) event()    {}
func (Withdraw) event()  {}
func (InFlight) event()  {}
func (Contract) event()  {}
func (StopEnded) event() {}
func (Tick) event()      {}

// Action is something that the driver does.
type Action interface{ action() }

// Refuse stops the admission of new work; queued requests are refused as not run.
type Refuse struct{ Reason Reason }

// Announce tells peers whether this node is leaving.
type Announce struct{ Leaving bool }

// Accept admits new work again.
type Accept struct{}

// GraceOver reports that requests outlived the grace of the stop contract.
type GraceOver struct{ InFlight int }

// StopServer tells the server to stop as contracted. The request is bounded by Timeout.
type StopServer struct {
	Stop    mesh.Stop
	Timeout time.Duration
}

// Exit ends the process with status 0. Cut is the number of requests still in flight.
type Exit struct{ Cut int }

func (Refuse) action()     {}
func (Announce) action()   {}
func (Accept) action()     {}
func (GraceOver) action()  {}
func (StopServer) action() {}
func (Exit) action()       {}
