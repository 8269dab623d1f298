// Package vmlist defines the published list of live and leaving VMs.
//
// The platform publishes the list and it lags behind the truth. It is the base of
// every node's view; probing between nodes corrects it.
package vmlist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
)

// maxVMs bounds the length of a list that is accepted.
const maxVMs = 20000

// VM is one virtual machine with its backend server and its node.
type VM struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Domain is the failure domain and Region the region that holds it.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Peer is where other nodes reach this node: "ip:port", TCP and UDP.
	Peer netip.AddrPort `json:"peer"`
	// Caller is where callers reach this node: "ip:port", HTTP.
	Caller netip.AddrPort `json:"caller"`
	// Admin is where operators read this node: "ip:port", HTTP.
	Admin netip.AddrPort `json:"admin"`
	// Leaving marks a VM that is about to be removed.
	Leaving bool `json:"leaving,omitempty"`
	// Instance identifies the run of the backend server; "" if the list doesn't say.
	Instance string `json:"instance,omitempty"`
	// Server is the address of the backend server: "ip:port"; zero if the list doesn't
	// say.
	Server netip.AddrPort `json:"server,omitzero"`
	// Slots is the number of requests that the server works on at once; 0 if the
	// release says.
	Slots int `json:"slots,omitempty"`
}

// List is the whole list at one revision of the platform's service. Revision
// comes from the service's answer and is not part of the value.
type List struct {
	Revision uint64
	VMs      []VM
}

// Parse decodes the value published under release.VMListKey.
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
			return nil, fmt.Errorf("VM list: entry %d: id %q stands twice", i, vm.ID)
		}
		seen[vm.ID] = true
	}
	return &List{Revision: revision, VMs: vms}, nil
}

// Encode returns the bytes to publish.
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
