// Package statusapi defines the JSON that a node serves to operators on its admin
// port and that the command line reads. Fields are only ever added within one
// APIVersion.
package statusapi

import (
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// APIVersion is the version of all answers in this package.
const APIVersion = "v1"

// Paths of the read-only endpoints on a node's admin port, all answering GET.
const (
	// StatusPath answers with a Status.
	StatusPath = "/v1/status"
	// BriefStatusPath answers with a Status without VMs and Peers, whose size grows
	// with the fleet.
	BriefStatusPath = StatusPath + "?" + BriefParameter + "=true"
	// BriefParameter is the query parameter of BriefStatusPath.
	BriefParameter = "brief"
	// HealthPath answers with status 200 while the process works.
	HealthPath = "/healthz"
	// ReadyPath answers with status 200 while the node serves callers, else 503.
	ReadyPath = "/readyz"
)

// Status is what one node reports about itself.
type Status struct {
	APIVersion string `json:"api_version"`
	VM         string `json:"vm"`
	Service    string `json:"service"`
	Domain     string `json:"domain"`
	Region     string `json:"region"`
	// Held is the release in force; zero before the first one.
	Held release.Version `json:"held"`
	// KeyID names the approval key of the release in force.
	KeyID string `json:"key_id,omitempty"`
	// HeldSince is when Held came into force on this node, by its own clock.
	HeldSince time.Time `json:"held_since,omitzero"`
	// Now is the node's clock when it answered.
	Now time.Time `json:"now"`
	// Reader reports whether the node holds a watch on the platform's service.
	Reader bool `json:"reader"`
	// SourceFailing reports that the platform gave no answer to the last calls of this
	// node. Only readers call it all the time.
	SourceFailing bool `json:"source_failing"`
	// VMListRevision is the revision of the VM list that the node holds.
	VMListRevision uint64 `json:"vm_list_revision"`
	// Refused lists the releases that the node did not put in force, newest first.
	Refused []RefusedRelease `json:"refused,omitempty"`
	// Conflicts lists pairs of different releases with one sequence number.
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Peers is left out of a brief answer.
	Peers  []PeerStatus `json:"peers,omitempty"`
	Drain  DrainState   `json:"drain"`
	Server ServerState  `json:"server"`
	// Load is the work at the node\'s own backend server.
	Load ServerLoad `json:"load"`
	// VMs is the VM list that the node holds, left out of a brief answer.
	VMs []vmlist.VM `json:"vms,omitempty"`
}

// DrainState is the state of the node's graceful shutdown.
type DrainState string

// Drain states, in the order in which a node passes through them.
const (
	DrainStarting DrainState = "starting"
	DrainServing  DrainState = "serving"
	DrainDraining DrainState = "draining"
	DrainStopped  DrainState = "stopped"
)

// ServerState is the node's view of its own backend server.
type ServerState string

// Server states.
const (
	// ServerUnknown means that no connection to the server was needed lately.
	ServerUnknown ServerState = "unknown"
	ServerUp      ServerState = "up"
	ServerLeaving ServerState = "leaving"
	// ServerDown means that the server refused the last connection.
	ServerDown ServerState = "down"
)

// ServerLoad is the work at one backend server.
type ServerLoad struct {
	// InFlight counts requests that run, and Queued those that wait for a slot.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Limit is the number of requests that may run at once; 0 before the first release.
	Limit int `json:"limit"`
}

// RefusedRelease is a release that a node did not put in force.
type RefusedRelease struct {
	Version release.Version `json:"version"`
	Reason  string          `json:"reason"`
	// Field is the path of the field that is at fault, if one is.
	Field string    `json:"field,omitempty"`
	At    time.Time `json:"at"`
}

// Conflict is a pair of different releases with one sequence number. Every node
// holds Kept; Dropped was seen as well.
type Conflict struct {
	Kept    release.Version `json:"kept"`
	Dropped release.Version `json:"dropped"`
	At      time.Time       `json:"at"`
}

// PeerStatus is what a node knows about another one.
type PeerStatus struct {
	VM string `json:"vm"`
	// State is the peer's membership state: alive, suspect, dead or leaving.
	State string `json:"state"`
}
