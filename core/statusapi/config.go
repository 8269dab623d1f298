package statusapi

import (
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
)

const (
	// ConfigPath answers with a Config, or with status 503 before the first release.
	ConfigPath = "/v1/config"
	// EvidencePath answers with an evidence.Signed. The query parameter nonce is
	// required.
	EvidencePath = "/v1/evidence"
)

// Config is the configuration in force on a node.
type Config struct {
	APIVersion string          `json:"api_version"`
	VM         string          `json:"vm"`
	Held       release.Version `json:"held"`
	KeyID      string          `json:"key_id"`
	Services   []*mesh.Service `json:"services"`
	// Approved is the encoded manifest with its approvals.
	Approved []byte `json:"approved"`
}
