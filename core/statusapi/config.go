package statusapi

import (
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
)

const (
	// ConfigPath returns a Config, or status 503 before the first release.
	ConfigPath = "/v1/config"
	// EvidencePath returns an evidence.Signed. The query parameter nonce is required.
	EvidencePath = "/v1/evidence"
)

// Config is the active configuration of a node.
type Config struct {
	APIVersion string `json:"api_version"`
	VM         string `json:"vm"`
	// Held is the active release.
	Held release.Version `json:"held"`
	// KeyID is the ID of the approval key of the active release.
	KeyID    string          `json:"key_id"`
	Services []*mesh.Service `json:"services"`
	// Approved is the encoded manifest with its approvals.
	Approved []byte `json:"approved"`
}
