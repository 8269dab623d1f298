// Package settings reads and validates the settings file of one node and defines the
// default values.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"auburnladder.example/core/release"
	"auburnladder.example/core/routing"
	"auburnladder.example/core/yamlcheck"
)

// Preset names a set of defaults for the distribution of releases.
type Preset string

const (
	// PresetConvergence propagates releases fastest and sends more control bytes.
	PresetConvergence Preset = "convergence"
	// PresetBytes sends the fewest control bytes and propagates releases more slowly.
	PresetBytes Preset = "bytes"
)

// Settings are the contents of a node's settings file.
type Settings struct {
	VM       VM       `yaml:"vm" check:"required"`
	Listen   Listen   `yaml:"listen" check:"required"`
	Server   Server   `yaml:"server" check:"required"`
	Platform Platform `yaml:"platform" check:"required"`
	// Approval is the condition under which a release counts as approved; the default is
	// ApprovalKeys.
	Approval Approval `yaml:"approval"`
	// ApprovalKeys are the trusted public keys, each "key-id:base64". ApprovalKeys
	// requires at least one.
	ApprovalKeys []string `yaml:"approval_keys"`
	// Deployment is the only deployment whose releases this node accepts; "" accepts any
	// approved release.
	Deployment string `yaml:"deployment"`
	// NodeKey is the private key with which the node signs evidence for audits, in the
	// format that keygen writes; the key's id must be the VM's id. "" means no key.
	NodeKey string `yaml:"node_key"`
	// PeerTLS configures TLS between nodes.
	PeerTLS PeerTLS `yaml:"peer_tls" check:"required"`
	// Preset trades convergence time against control bytes; the default is
	// PresetConvergence.
	Preset  Preset  `yaml:"preset"`
	Routing Routing `yaml:"routing"`
	Retry   Retry   `yaml:"retry"`
	Stop    Stop    `yaml:"stop"`
	Log     Log     `yaml:"log"`
	Trace   Trace   `yaml:"trace"`
}

// VM identifies the VM that the node runs on. The VM list must contain the same values.
type VM struct {
	ID      string `yaml:"id" check:"required"`
	Service string `yaml:"service" check:"required"`
	Domain  string `yaml:"domain" check:"required"`
	Region  string `yaml:"region" check:"required"`
	// LinkMbps is the rate of the VM's network link in megabits per second, 0 if unknown. It
	// bounds the bytes of response bodies under way from below: the rate that is measured with
	// them is too low while their receivers are busy.
	LinkMbps float64 `yaml:"link_mbps"`
	// MemoryMB is the memory that the process may use, in megabytes, 0 if unknown. From it follows
	// the runtime's soft limit, a share softMemoryShare of it: a larger share leaves less for what the
	// runtime doesn't count (pages of the program, bytes that wait in sockets) and for what is allocated
	// while a collection runs; a smaller one makes the collector work more. 0 sets no limit.
	MemoryMB float64 `yaml:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may use, 0 if unknown. Connections of
	// callers may take the share callerFDShare of those that are not reserved.
	MaxFDs int `yaml:"max_fds"`
}

// bytesPerMegabit converts megabits to bytes.
const bytesPerMegabit = 1e6 / 8

// LinkBytesPerSecond returns the rate of the VM's network link, 0 if unknown.
func (v *VM) LinkBytesPerSecond() float64 { return v.LinkMbps * bytesPerMegabit }

// bytesPerMegabyte converts megabytes to bytes.
const bytesPerMegabyte = 1e6

// requestBodyShare is the share of the memory that the bodies of callers' requests may take, and
// defaultRequestBodyBytes what they may take if the memory is unknown. A larger share lets callers send
// longer bodies, and more at a time; but each is garbage for a while after its request.
const (
	requestBodyShare        = 0.15
	defaultRequestBodyBytes = 32 << 20
)

// responseBufferShare is the share of the memory that the responses may take that are read from the
// backend server before they are sent, and defaultResponseBufferBytes what they may take if the memory
// is unknown. A larger share frees the server sooner while the link is slow.
const (
	responseBufferShare        = 0.15
	defaultResponseBufferBytes = 32 << 20
)

// callerTotalShare is the share of the memory that all that connections of callers hold may take: their
// buffers, header sections, parsed fields, bodies, and requests and responses that wait. A larger share
// leaves less for responses that are held, for queues between nodes and for garbage.
const callerTotalShare = 0.4

// CallerBytes returns how many bytes the connections of callers may hold, 0 if the memory is unknown.
func (v *VM) CallerBytes() int64 { return v.memoryShare(callerTotalShare, 0) }

// ResponseBufferBytes returns how many bytes the buffered responses may take at a time.
func (v *VM) ResponseBufferBytes() int64 {
	return v.memoryShare(responseBufferShare, defaultResponseBufferBytes)
}

// RequestBodyBytes returns how many bytes the bodies of callers' requests may take at a time.
func (v *VM) RequestBodyBytes() int64 {
	return v.memoryShare(requestBodyShare, defaultRequestBodyBytes)
}

// serverBodyShare is the share of the memory that the bodies of requests may take which the backend server
// holds, and defaultServerBodyBytes what they may take if the memory is unknown. The server's own limit isn't
// known; it crashes beyond it. A larger share lets it hold more long bodies at a time.
const (
	serverBodyShare        = 0.1
	defaultServerBodyBytes = 32 << 20
)

// ServerBodyBytes returns how many bytes of announced request bodies the backend server may hold at a time.
func (v *VM) ServerBodyBytes() int64 {
	return v.memoryShare(serverBodyShare, defaultServerBodyBytes)
}

// sessionQueueShare is the share of the memory that bytes may take which wait for peers that don't
// read, of all sessions, and defaultSessionQueueBytes what they may take if the memory is unknown. A
// larger share keeps the calls to such peers going for longer.
const (
	sessionQueueShare        = 0.08
	defaultSessionQueueBytes = 16 << 20
)

// SessionQueueBytes returns how many bytes may wait in the queues of all sessions.
func (v *VM) SessionQueueBytes() int64 {
	return v.memoryShare(sessionQueueShare, defaultSessionQueueBytes)
}

// memoryShare returns a share of the memory in bytes, or unknown if the memory is unknown.
func (v *VM) memoryShare(share float64, unknown int64) int64 {
	if v.MemoryMB == 0 {
		return unknown
	}
	return int64(v.MemoryMB * bytesPerMegabyte * share)
}

// softMemoryShare is the share of the memory that the runtime keeps to by collecting garbage sooner.
const softMemoryShare = 0.75

// SoftMemoryBytes returns the soft limit for the runtime in bytes, 0 if there is none.
func (v *VM) SoftMemoryBytes() int64 { return v.memoryShare(softMemoryShare, 0) }

const (
	// reservedFDs is the number of descriptors that are for files. max_fds must be above it.
	reservedFDs = 200
	// callerFDShare is the share of the other descriptors that connections of callers may take. The rest
	// is for connections to the backend server and to other nodes.
	callerFDShare = 0.6
	// callerMemoryShare is the share of the memory that connections of callers may take, and
	// callerBytes what an idle one takes: its buffers and the stacks of its goroutines. A larger share keeps
	// more idle connections.
	callerMemoryShare = 0.2
	callerBytes       = 28 << 10
)

// CallerConnections returns how many connections of callers the descriptors and the memory allow, 0 if
// neither is known.
func (v *VM) CallerConnections() int {
	byMemory := int(v.MemoryMB * bytesPerMegabyte * callerMemoryShare / callerBytes)
	if v.MaxFDs == 0 {
		return byMemory
	}
	byFDs := max(1, int(float64(v.MaxFDs-reservedFDs)*callerFDShare))
	if byMemory == 0 {
		return byFDs
	}
	return min(byFDs, byMemory)
}

// Validate checks the rate of the link, the memory and the descriptors.
func (v *VM) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if v.LinkMbps < 0 {
		problems = append(problems, yamlcheck.Problem{Field: "link_mbps", Found: fmt.Sprint(v.LinkMbps), Expected: "0 or more"})
	}
	if v.MemoryMB < 0 {
		problems = append(problems, yamlcheck.Problem{Field: "memory_mb", Found: fmt.Sprint(v.MemoryMB), Expected: "0 or more"})
	}
	if v.MaxFDs < 0 || v.MaxFDs > 0 && v.MaxFDs <= reservedFDs {
		expected := fmt.Sprintf("0, or more than %d", reservedFDs)
		problems = append(problems, yamlcheck.Problem{Field: "max_fds", Found: strconv.Itoa(v.MaxFDs), Expected: expected})
	}
	return problems
}

// Listen holds the addresses that the node listens on, each "ip:port".
type Listen struct {
	// Peer serves other nodes, over TCP and UDP.
	Peer netip.AddrPort `yaml:"peer" check:"required"`
	// Caller serves external callers over HTTP.
	Caller netip.AddrPort `yaml:"caller" check:"required"`
	// Local serves the backend server's outgoing calls to other services, over HTTP;
	// optional.
	Local netip.AddrPort `yaml:"local"`
	// Admin serves operators over HTTP, read-only.
	Admin netip.AddrPort `yaml:"admin" check:"required"`
	// Metrics serves counters and histograms to a scraper over HTTP; the zero value
	// disables it.
	Metrics netip.AddrPort `yaml:"metrics"`
	// ReadyPath is an additional path at Admin that reports whether the node serves
	// callers.
	ReadyPath string `yaml:"ready_path"`
}

// Server is the backend server that the node runs beside.
type Server struct {
	Address netip.AddrPort `yaml:"address" check:"required"`
}

const (
	defaultPlatformTimeout = 2 * time.Second
	defaultPlatformWait    = 30 * time.Second
	defaultApplyWithin     = 2 * time.Second
	defaultLeaveWithin     = 2 * time.Second
	defaultHeartbeat       = 1500 * time.Millisecond
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

// Default returns the default settings, which the values of a file overwrite.
func Default() Settings {
	return Settings{
		Platform: Platform{
			Timeout:     yamlcheck.Duration(defaultPlatformTimeout),
			Wait:        yamlcheck.Duration(defaultPlatformWait),
			FleetSize:   defaultFleetSize,
			ApplyWithin: yamlcheck.Duration(defaultApplyWithin),
			LeaveWithin: yamlcheck.Duration(defaultLeaveWithin),
			Heartbeat:   yamlcheck.Duration(defaultHeartbeat),

			Kind:           SourceService,
			Reading:        ReadingTree,
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

// Load reads and validates the file at path. Invalid content is reported as
// yamlcheck.FieldErrors.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and validates the content of a settings file. Errors name it by file.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	if err := yamlcheck.Decode(file, data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Validate checks the preset and PeerTLS, and values that depend on several fields.
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

// validateApproval checks that Approval matches the kind of source and that ApprovalKeys
// has a key.
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

// validateNodeKey checks that NodeKey is a private key with the VM's id. The problems that
// it returns never contain key material.
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
