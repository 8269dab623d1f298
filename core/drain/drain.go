// Package drain implements the state machine by which a node takes its backend server out
// of service: refuse new work, wait for the requests in flight, stop the server, exit.
//
// Machine is pure: the driver passes in the time and the events and executes the returned
// actions. It is not safe for concurrent use; the driver calls it from one goroutine.
package drain

import (
	"time"

	"auburnladder.example/core/mesh"
)

// Reason is the source of a drain signal.
type Reason string

const (
	// ReasonTerminate is a SIGTERM to the node: stop the server and exit.
	ReasonTerminate Reason = "terminate"
	// ReasonRestart is a planned restart of the node alone: the server keeps running.
	ReasonRestart Reason = "restart"
	// ReasonListed is the "leaving" mark of the VM in the VM list.
	ReasonListed Reason = "listed"
	// ReasonServer is the drain signal of the server, reported on its drain path.
	ReasonServer Reason = "server"
)

// withdrawable reports whether the signal can be withdrawn.
func (r Reason) withdrawable() bool {
	return r == ReasonListed || r == ReasonServer
}

// State is the stage of the drain.
type State string

const (
	// Serving admits new work.
	Serving State = "serving"
	// Refusing admits no new work and waits until peers are notified.
	Refusing State = "refusing"
	// WaitingInFlight waits for the requests in flight to complete.
	WaitingInFlight State = "waiting_in_flight"
	// StoppingServer waits for the server's response to the stop request and for the
	// requests that outlived the grace period.
	StoppingServer State = "stopping_server"
	// Done means that the process must exit.
	Done State = "done"
)

// Event is an input of Machine.Step.
type Event interface{ event() }

// Signal requests the drain.
type Signal struct{ Reason Reason }

// Withdraw withdraws a signal: the VM is no longer listed as leaving, or the server's drain
// path no longer reports a drain.
type Withdraw struct{ Reason Reason }

// InFlight reports the number of requests in flight. The driver must send it on every
// change, and at least once after it executed the actions of a Signal.
type InFlight struct{ Count int }

// Contract reports the stop configuration of the service in the active release.
type Contract struct{ Stop mesh.Stop }

// StopEnded reports that the stop request has completed or failed.
type StopEnded struct{}

// Tick advances time. The driver must send it, or another event, by Machine.Wake.
type Tick struct{}

func (Signal) event()    {}
func (Withdraw) event()  {}
func (InFlight) event()  {}
func (Contract) event()  {}
func (StopEnded) event() {}
func (Tick) event()      {}

// Action is an output of Machine.Step, to be executed by the driver.
type Action interface{ action() }

// Refuse stops the admission of new work. Queued requests are refused with the verdict
// not-run.
type Refuse struct{ Reason Reason }

// Announce notifies peers whether the local node is leaving.
type Announce struct{ Leaving bool }

// Accept resumes the admission of new work.
type Accept struct{}

// GraceOver reports the number of requests still in flight when the grace period of the
// stop configuration ended.
type GraceOver struct{ InFlight int }

// StopServer requests the server to stop as configured by Stop, within Timeout.
type StopServer struct {
	Stop    mesh.Stop
	Timeout time.Duration
}

// Exit terminates the process with status 0. Aborted is the number of requests that are
// still in flight and are aborted by the exit.
type Exit struct{ Aborted int }

func (Refuse) action()     {}
func (Announce) action()   {}
func (Accept) action()     {}
func (GraceOver) action()  {}
func (StopServer) action() {}
func (Exit) action()       {}
