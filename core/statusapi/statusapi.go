// Package statusapi defines the JSON API that a node serves on its admin port for
// operators and the command-line tool. Within one APIVersion, fields may be added but
// not changed or removed.
package statusapi

import (
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// APIVersion is the version of all responses in this package.
const APIVersion = "v1"

// Paths of the read-only endpoints on a node's admin port, all for GET.
const (
	// StatusPath returns a Status.
	StatusPath = "/v1/status"
	// BriefStatusPath returns a Status without VMs and Peers, whose size grows with the
	// fleet.
	BriefStatusPath = StatusPath + "?" + BriefParameter + "=true"
	// BriefParameter is the query parameter of BriefStatusPath.
	BriefParameter = "brief"
	// HealthPath returns status 200 while the process responds.
	HealthPath = "/healthz"
	// ReadyPath returns status 200 while the node serves callers, otherwise 503.
	ReadyPath = "/readyz"
)

// Status is what one node reports about itself.
type Status struct {
	APIVersion string `json:"api_version"`
	VM         string `json:"vm"`
	Service    string `json:"service"`
	Domain     string `json:"domain"`
	Region     string `json:"region"`
	// Held is the active release; zero before the first one.
	Held release.Version `json:"held"`
	// KeyID is the ID of the approval key of the active release.
	KeyID string `json:"key_id,omitempty"`
	// HeldSince is when Held became active on this node, by the node's clock.
	HeldSince time.Time `json:"held_since,omitzero"`
	// Now is the time of the response by the node's clock.
	Now time.Time `json:"now"`
	// Reader reports whether the node watches the platform for new releases.
	Reader bool `json:"reader"`
	// SourceParent is the VM from whose node changes of a key-value store are taken; "" if
	// there is none.
	SourceParent string `json:"source_parent,omitempty"`
	// SourceAgeMS is the time in milliseconds for which a key-value store may have changed
	// without this node knowing.
	SourceAgeMS int64 `json:"source_age_ms,omitempty"`
	// SourceFailing reports whether this node's latest calls to the platform all failed.
	// Only readers call the platform continuously.
	SourceFailing bool `json:"source_failing"`
	// VMListRevision is the revision of the VM list that the node holds.
	VMListRevision uint64 `json:"vm_list_revision"`
	// Evacuations lists the evacuated failure domains, ordered by domain.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Refused lists the releases that the node did not activate, newest first.
	Refused []RefusedRelease `json:"refused,omitempty"`
	// Conflicts lists pairs of different releases with the same sequence number.
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Peers is omitted from a brief response.
	Peers  []PeerStatus `json:"peers,omitempty"`
	Drain  DrainState   `json:"drain"`
	Server ServerState  `json:"server"`
	// Load is the load of the local backend server.
	Load ServerLoad `json:"load"`
	// VMs is the VM list that the node holds. It is omitted from a brief response.
	VMs []vmlist.VM `json:"vms,omitempty"`
}

// Evacuation is an evacuated failure domain: its backend servers get no requests.
type Evacuation struct {
	Domain string `json:"domain"`
	// Key is the key of the store that evacuates the domain.
	Key string `json:"key"`
	// Since is when the node learned of the evacuation, by its clock.
	Since time.Time `json:"since"`
	// CopyAgeMS is the time in milliseconds for which the store may have changed without this node
	// knowing.
	CopyAgeMS int64 `json:"copy_age_ms"`
	// Kept reports that the store came back from an older copy that lacks the key. The evacuation stays
	// in force for a limited time.
	Kept bool `json:"kept,omitempty"`
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

// ServerState is the node's view of its local backend server.
type ServerState string

// Server states.
const (
	// ServerUnknown means that no connection to the server is open, because no request
	// needed one recently.
	ServerUnknown ServerState = "unknown"
	// ServerUp means that a connection to the server is open.
	ServerUp ServerState = "up"
	// ServerLeaving means that the node accepts no new calls for the server.
	ServerLeaving ServerState = "leaving"
	// ServerDown means that the latest connection attempt to the server failed.
	ServerDown ServerState = "down"
)

// ServerLoad is the load of one backend server.
type ServerLoad struct {
	// InFlight is the number of requests that hold a slot.
	InFlight int `json:"in_flight"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// Limit is the maximum number of concurrent requests; 0 before the first release.
	Limit int `json:"limit"`
	// ColdMS is how many milliseconds longer the server counts as cold, 0 if it is warm. ColdReason is
	// why.
	ColdMS     int64  `json:"cold_ms,omitempty"`
	ColdReason string `json:"cold_reason,omitempty"`
}

// RefusedRelease is a release that a node did not activate.
type RefusedRelease struct {
	Version release.Version `json:"version"`
	Reason  string          `json:"reason"`
	// Field is the path of the invalid field, empty if the reason concerns no field.
	Field string    `json:"field,omitempty"`
	At    time.Time `json:"at"`
}

// Conflict is a pair of different releases with the same sequence number. All nodes
// choose the same one, Kept, over Dropped.
type Conflict struct {
	Kept    release.Version `json:"kept"`
	Dropped release.Version `json:"dropped"`
	At      time.Time       `json:"at"`
}

// PeerStatus is a node's view of another node.
type PeerStatus struct {
	VM string `json:"vm"`
	// State is the peer's membership state: alive, suspect, dead or leaving.
	State string `json:"state"`
}
