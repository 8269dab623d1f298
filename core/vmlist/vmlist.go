// Package vmlist defines the published list of live and leaving VMs.
//
// The platform publishes the list, which lags behind the actual state of the fleet. It is
// the basis of every node's view; probing between nodes corrects it.
package vmlist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
)

// maxVMs is the maximum length of an accepted list.
const maxVMs = 20000

// VM is one virtual machine with its backend server and its node.
type VM struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Domain is the failure domain, and Region the region that contains it.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Peer is the address of the node for other nodes: "ip:port", TCP and UDP.
	Peer netip.AddrPort `json:"peer"`
	// Caller is the address of the node for callers: "ip:port", HTTP.
	Caller netip.AddrPort `json:"caller"`
	// Admin is the address of the admin endpoint for operators: "ip:port", HTTP.
	Admin netip.AddrPort `json:"admin"`
	// Leaving marks a VM that is about to be removed.
	Leaving bool `json:"leaving,omitempty"`
	// Instance identifies the run of the backend server; "" if unknown.
	Instance string `json:"instance,omitempty"`
	// StartedAtMs is the start time of the backend server in Unix milliseconds; 0 if unknown.
	StartedAtMs int64 `json:"started_at_ms,omitempty"`
	// Server is the address of the backend server: "ip:port"; the zero value if unknown.
	Server netip.AddrPort `json:"server,omitzero"`
	// Slots is the number of requests that the server processes concurrently; 0 if the
	// number is configured in the release.
	Slots int `json:"slots,omitempty"`
	// ColdLeftMs is how many milliseconds longer the server stays cold, as of when the entry was
	// written; 0 if it is warm. ColdReport then tells this entry from the others of the same run.
	ColdLeftMs int64  `json:"cold_left_ms,omitempty"`
	ColdReport uint64 `json:"cold_report,omitempty"`
}

// Run identifies one run of a backend server. A server may be started again under the same
// instance name; it knows nothing of before then.
type Run struct {
	Instance    string
	StartedAtMs int64
}

// Run returns the run of the backend server; the zero value if its instance is unknown.
func (vm *VM) Run() Run {
	if vm.Instance == "" {
		return Run{}
	}
	return Run{Instance: vm.Instance, StartedAtMs: vm.StartedAtMs}
}

// List is the complete list at one revision of the platform's service. Revision comes
// from the service's response and is not part of the encoded value.
type List struct {
	Revision uint64
	VMs      []VM
}

// Parse decodes and validates the value published under release.VMListKey. It returns an
// error if the list is too long, or if an entry is incomplete or has a duplicate ID.
func Parse(data []byte, revision uint64) (*List, error) {
	var vms []VM
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&vms); err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	if len(vms) > maxVMs {
		return nil, fmt.Errorf("VM list: %d VMs, expected at most %d", len(vms), maxVMs)
	}
	seen := make(map[string]bool, len(vms))
	for i, vm := range vms {
		if err := validate(vm); err != nil {
			return nil, fmt.Errorf("VM list: entry %d: %w", i, err)
		}
		if seen[vm.ID] {
			return nil, fmt.Errorf("VM list: entry %d: duplicate id %q", i, vm.ID)
		}
		seen[vm.ID] = true
	}
	return &List{Revision: revision, VMs: vms}, nil
}

// Encode returns the value to publish, as JSON.
func (l *List) Encode() ([]byte, error) {
	return json.Marshal(l.VMs)
}

func validate(vm VM) error {
	switch {
	case vm.ID == "":
		return fmt.Errorf("id is missing")
	case vm.Service == "":
		return fmt.Errorf("VM %q: service is missing", vm.ID)
	case vm.Domain == "":
		return fmt.Errorf("VM %q: domain is missing", vm.ID)
	case !vm.Peer.IsValid():
		return fmt.Errorf("VM %q: peer address is missing", vm.ID)
	}
	return nil
}
