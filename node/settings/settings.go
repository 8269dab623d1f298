// Package settings reads and checks the settings of one node. All defaults stand
// in this package.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/yamlcheck"
)

// Preset names a set of defaults for the spread of releases.
type Preset string

const (
	// PresetConvergence spreads releases fastest and spends more control bytes.
	PresetConvergence Preset = "convergence"
	// PresetBytes spends the fewest control bytes and spreads releases slower.
	PresetBytes Preset = "bytes"
)

// Settings are the contents of a node's settings file.
type Settings struct {
	VM       VM       `yaml:"vm" check:"required"`
	Listen   Listen   `yaml:"listen" check:"required"`
	Server   Server   `yaml:"server" check:"required"`
	Platform Platform `yaml:"platform" check:"required"`
	// Approval says what makes a release count as approved.
	Approval Approval `yaml:"approval"`
	// ApprovalKeys are the trusted public keys, each "key-id:base64".
	ApprovalKeys []string `yaml:"approval_keys"`
	// Deployment is the only deployment whose releases this node takes; "" takes any
	// that a trusted key approved.
	Deployment string `yaml:"deployment"`
	// NodeKey is the private key with which the node signs evidence for audits, as
	// keygen writes it with the VM's id as the key's id; "" if none.
	NodeKey string `yaml:"node_key"`
	// PeerTLS protects the connections between nodes.
	PeerTLS PeerTLS `yaml:"peer_tls" check:"required"`
	// Preset weighs convergence time against control bytes.
	Preset  Preset  `yaml:"preset"`
	Routing Routing `yaml:"routing"`
	Retry   Retry   `yaml:"retry"`
	Stop    Stop    `yaml:"stop"`
	Log     Log     `yaml:"log"`
	Trace   Trace   `yaml:"trace"`
}

// VM says which VM the node runs on.
type VM struct {
	ID      string `yaml:"id" check:"required"`
	Service string `yaml:"service" check:"required"`
	Domain  string `yaml:"domain" check:"required"`
	Region  string `yaml:"region" check:"required"`
}

// Listen holds the node's own addresses, each "ip:port".
type Listen struct {
	// Peer is for other nodes, TCP and UDP.
	Peer netip.AddrPort `yaml:"peer" check:"required"`
	// Caller is for callers from outside, HTTP.
	Caller netip.AddrPort `yaml:"caller" check:"required"`
	// Local is for the backend server's own calls to other services, HTTP.
	Local netip.AddrPort `yaml:"local"`
	// Admin is for operators, HTTP, read only.
	Admin netip.AddrPort `yaml:"admin" check:"required"`
	// Metrics is for the scraper of counters and histograms, HTTP; zero for none.
	Metrics netip.AddrPort `yaml:"metrics"`
	// ReadyPath is a further path at Admin that tells whether the node serves callers.
	ReadyPath string `yaml:"ready_path"`
}

// Server is the backend server beside the node.
type Server struct {
	Address netip.AddrPort `yaml:"address" check:"required"`
}

const (
	defaultPlatformTimeout = 2 * time.Second
	defaultPlatformWait    = 30 * time.Second
	defaultApplyWithin     = 2 * time.Second
	defaultLeaveWithin     = 2 * time.Second
	defaultFleetSize       = 300
	defaultSampleRatio     = 0.01
	defaultPeerTLSReload   = 10 * time.Second
	defaultReadsPerSecond  = 2000
	defaultRetryRatio      = 0.1
	defaultRetrySlack      = 50
	defaultRetryWindow     = 10 * time.Second
	defaultStopGrace       = 30 * time.Second
	defaultStopUnready     = 2800 * time.Millisecond
)

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Platform: Platform{
			Timeout:     yamlcheck.Duration(defaultPlatformTimeout),
			Wait:        yamlcheck.Duration(defaultPlatformWait),
			FleetSize:   defaultFleetSize,
			ApplyWithin: yamlcheck.Duration(defaultApplyWithin),
			LeaveWithin: yamlcheck.Duration(defaultLeaveWithin),

			Kind:           SourceService,
			ReadsPerSecond: defaultReadsPerSecond,
		},
		Approval: ApprovalKeys,
		Retry:    Retry{Ratio: defaultRetryRatio, Slack: defaultRetrySlack, Window: yamlcheck.Duration(defaultRetryWindow)},
		Stop:     Stop{Grace: yamlcheck.Duration(defaultStopGrace), Unready: yamlcheck.Duration(defaultStopUnready)},
		PeerTLS:  PeerTLS{Reload: yamlcheck.Duration(defaultPeerTLSReload)},
		Preset:   PresetConvergence,
		Routing:  Routing{Policy: PolicyP2C, DomainCost: routing.DefaultConfig().DomainCost},
		Log:      Log{Level: "info", Format: LogJSON},
		Trace:    Trace{Exporter: TraceNone, SampleRatio: defaultSampleRatio},
	}
}

// Load reads the file at path. Errors of content are yamlcheck.FieldErrors.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a settings file. The name file appears
// in errors.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	if err := yamlcheck.Decode(file, data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Validate checks values across fields.
func (s *Settings) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if s.Preset != PresetConvergence && s.Preset != PresetBytes {
		problems = append(problems, yamlcheck.Problem{Field: "preset", Found: string(s.Preset), Expected: "convergence or bytes"})
	}
	problems = append(problems, s.validateApproval()...)
	for i, k := range s.ApprovalKeys {
		if _, _, err := release.ParsePublicKey(k); err != nil {
			problems = append(problems, yamlcheck.Problem{
				Field: fmt.Sprintf("approval_keys[%d]", i), Found: err.Error(), Expected: "key-id:base64 as keygen writes it",
			})
		}
	}
	problems = append(problems, s.PeerTLS.problems()...)
	return append(problems, s.validateNodeKey()...)
}

// validateApproval checks that the kind of source can approve as asked.
func (s *Settings) validateApproval() []yamlcheck.Problem {
	switch {
	case s.Approval != ApprovalKeys && s.Approval != ApprovalSource:
		return []yamlcheck.Problem{{Field: "approval", Found: string(s.Approval), Expected: "keys or source"}}
	case s.Approval == ApprovalKeys && len(s.ApprovalKeys) == 0:
		return []yamlcheck.Problem{{Field: "approval_keys", Found: "nothing", Expected: "a list of key-id:base64"}}
	case s.Approval == ApprovalSource && s.Platform.Kind != SourceStore:
		return []yamlcheck.Problem{{Field: "approval", Related: "platform.kind", Found: "source", Expected: "keys, or platform.kind: store"}}
	case s.Approval == ApprovalKeys && s.Platform.Kind == SourceStore:
		return []yamlcheck.Problem{{Field: "approval", Related: "platform.kind", Found: "keys", Expected: "source, or platform.kind: service"}}
	}
	return nil
}

// validateNodeKey names no part of the key in what it reports.
func (s *Settings) validateNodeKey() []yamlcheck.Problem {
	if s.NodeKey == "" {
		return nil
	}
	const expected = "vm-id:base64 as keygen writes it to FILE"
	key, err := release.ParseSigningKey(s.NodeKey)
	if err != nil {
		return []yamlcheck.Problem{{Field: "node_key", Found: "text that is not a private key", Expected: expected}}
	}
	if key.ID != s.VM.ID {
		found := fmt.Sprintf("a key with id %q", key.ID)
		return []yamlcheck.Problem{{Field: "node_key", Related: "vm.id", Found: found, Expected: fmt.Sprintf("the VM's id %q", s.VM.ID)}}
	}
	return nil
}
