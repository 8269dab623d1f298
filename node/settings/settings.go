// Package settings reads and checks the settings of one node. All defaults stand
// in this package.
package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
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

// PeerTLSMode says how connections between nodes are protected.
type PeerTLSMode string

// Modes of protection.
const (
	// PeerTLSMutual has each node prove its VM with a certificate.
	PeerTLSMutual PeerTLSMode = "mutual"
	// PeerTLSPlain protects nothing: any process that reaches a node is believed.
	PeerTLSPlain PeerTLSMode = "plain"
)

// PeerTLS holds the credentials of the node towards other nodes. There is no default:
// plain connections must be asked for.
type PeerTLS struct {
	Mode PeerTLSMode `yaml:"mode" check:"required"`
	// Cert, Key and CA are paths of PEM files. Changed files are taken over while the
	// node runs.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
	// Reload is the time between two looks at the files.
	Reload yamlcheck.Duration `yaml:"reload"`
}

// SourceKind names what publishes releases and the VM list.
type SourceKind string

const (
	// SourceService is the project's own configuration service: approved manifests,
	// chunks and a VM list, read by some nodes and spread between all.
	SourceService SourceKind = "service"
	// SourceStore is a key-value store with one revision counter, read by every node.
	SourceStore SourceKind = "store"
)

// Approval says what makes a release count as approved.
type Approval string

const (
	// ApprovalKeys asks for a signature by one of the approval keys.
	ApprovalKeys Approval = "keys"
	// ApprovalSource takes what the source publishes as approved.
	ApprovalSource Approval = "source"
)

// Retry is the part of the deployment's retry budget that concerns every node.
type Retry struct {
	// Ratio is the share of the calls to a service that all nodes together may repeat.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of repeats for each service within Window beyond that.
	Slack int `yaml:"slack"`
	// Window is the time over which repeats are counted.
	Window yamlcheck.Duration `yaml:"window"`
}

// Validate checks the budget.
func (r *Retry) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if r.Ratio < 0 || r.Ratio > 1 {
		problems = append(problems, yamlcheck.Problem{Field: "ratio", Found: fmt.Sprint(r.Ratio), Expected: "a number from 0 to 1"})
	}
	if r.Slack < 0 {
		problems = append(problems, yamlcheck.Problem{Field: "slack", Found: fmt.Sprint(r.Slack), Expected: "0 or more"})
	}
	if r.Window <= 0 {
		problems = append(problems, yamlcheck.Problem{Field: "window", Found: r.Window.String(), Expected: "more than 0s"})
	}
	return problems
}

// Stop bounds the stop of the node after SIGTERM.
type Stop struct {
	// Grace is how long after SIGTERM the process is killed.
	Grace yamlcheck.Duration `yaml:"grace"`
	// Unready is how long the node goes on taking new requests, while it tells that it is
	// not ready. Longer than callers take to notice costs time from Grace.
	Unready yamlcheck.Duration `yaml:"unready"`
}

// Validate checks that the times leave room for requests in flight.
func (s *Stop) Validate() []yamlcheck.Problem {
	if s.Unready < 0 || s.Unready >= s.Grace {
		return []yamlcheck.Problem{{Field: "unready", Found: s.Unready.String(), Expected: "0s or more, below grace"}}
	}
	return nil
}

// Platform is the platform's configuration service.
type Platform struct {
	// Kind says what is spoken with the service.
	Kind SourceKind `yaml:"kind"`
	// Seeds are "ip:port" of the peer listeners of nodes known before the first list.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Regions maps failure domains to their regions, for lists that name domains only.
	Regions map[string]string `yaml:"regions"`
	// ReadsPerSecond is the rate of calls that the service takes from all nodes.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
	// Addresses are "ip:port" of the service's endpoints.
	Addresses []netip.AddrPort `yaml:"addresses" check:"required"`
	// Timeout bounds one read. Shorter turns to the next endpoint sooner.
	Timeout yamlcheck.Duration `yaml:"timeout"`
	// Wait bounds one watch. Longer costs fewer calls.
	Wait yamlcheck.Duration `yaml:"wait"`
	// ApplyWithin is the time in which a new release must be in force at a node, and
	// LeaveWithin that in which a leaving server must get no more work. Longer combines
	// more changes of the store into one call.
	ApplyWithin yamlcheck.Duration `yaml:"apply_within"`
	LeaveWithin yamlcheck.Duration `yaml:"leave_within"`
	// FleetSize is the number of VMs to expect before the VM list is known. It spreads
	// the first reads of a fleet that starts at once: larger delays every start, smaller
	// lets a large fleet exceed the service's limit for a moment.
	FleetSize int `yaml:"fleet_size"`
}

// RoutingPolicy names a way to choose a backend server.
type RoutingPolicy string

// Routing policies. Random and round robin are baselines for measurements.
const (
	PolicyP2C        RoutingPolicy = "p2c"
	PolicyRandom     RoutingPolicy = "random"
	PolicyRoundRobin RoutingPolicy = "round-robin"
)

// Routing says how backend servers are chosen.
type Routing struct {
	Policy RoutingPolicy `yaml:"policy"`
	// DomainCost is added to the load of a server in another failure domain of the own
	// region, as a share of its limit. Higher saves bytes between domains, lower levels
	// the load sooner.
	DomainCost float64 `yaml:"domain_cost"`
}

// Validate checks the policy and the cost.
func (r *Routing) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if r.DomainCost < 0 {
		problems = append(problems, yamlcheck.Problem{Field: "domain_cost", Found: fmt.Sprint(r.DomainCost), Expected: "0 or more"})
	}
	switch r.Policy {
	case PolicyP2C, PolicyRandom, PolicyRoundRobin:
		return problems
	}
	return append(problems, yamlcheck.Problem{Field: "policy", Found: string(r.Policy), Expected: "p2c, random or round-robin"})
}

// LogFormat is how log lines are written.
type LogFormat string

// Log formats.
const (
	LogJSON    LogFormat = "json"
	LogConsole LogFormat = "console"
)

// Log says what is logged and how.
type Log struct {
	// Level is debug, info, warn or error.
	Level  string    `yaml:"level"`
	Format LogFormat `yaml:"format"`
}

// TraceExporter is where spans go.
type TraceExporter string

// Trace exporters.
const (
	TraceNone     TraceExporter = "none"
	TraceStdout   TraceExporter = "stdout"
	TraceOTLPHTTP TraceExporter = "otlphttp"
)

// Trace says which requests leave spans and where these go.
type Trace struct {
	Exporter TraceExporter `yaml:"exporter"`
	// Endpoint is the "ip:port" of an OTLP receiver over HTTP.
	Endpoint netip.AddrPort `yaml:"endpoint"`
	// SampleRatio is the share of requests without a trace of their own that get
	// one, from 0 to 1. Higher costs processor time.
	SampleRatio float64 `yaml:"sample_ratio"`
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

func (t *PeerTLS) problems() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	report := func(field, found, expected string) {
		problems = append(problems, yamlcheck.Problem{Field: "peer_tls." + field, Found: found, Expected: expected})
	}
	files := map[string]string{"cert": t.Cert, "key": t.Key, "ca": t.CA}
	switch t.Mode {
	case PeerTLSMutual:
		for _, name := range slices.Sorted(maps.Keys(files)) {
			if files[name] == "" {
				report(name, "nothing", "the path of a PEM file")
			}
		}
	case PeerTLSPlain:
		for _, name := range slices.Sorted(maps.Keys(files)) {
			if files[name] != "" {
				report(name, files[name], "nothing, or mode: mutual")
			}
		}
	case "":
	default:
		report("mode", string(t.Mode), "mutual or plain")
	}
	if t.Reload <= 0 {
		report("reload", t.Reload.String(), "a time above 0s")
	}
	return problems
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

// Validate checks the endpoints and limits of the platform's service.
func (p *Platform) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if p.Timeout <= 0 {
		problems = append(problems, yamlcheck.Problem{Field: "timeout", Found: p.Timeout.String(), Expected: "more than 0s"})
	}
	if p.Wait.Std() < time.Second {
		problems = append(problems, yamlcheck.Problem{Field: "wait", Found: p.Wait.String(), Expected: "1s or more"})
	}
	if p.Kind != SourceService && p.Kind != SourceStore {
		problems = append(problems, yamlcheck.Problem{Field: "kind", Found: string(p.Kind), Expected: "service or store"})
	}
	if p.ReadsPerSecond <= 0 {
		problems = append(problems, yamlcheck.Problem{Field: "reads_per_second", Found: fmt.Sprint(p.ReadsPerSecond), Expected: "more than 0"})
	}
	for _, d := range []struct {
		field string
		value yamlcheck.Duration
	}{{"apply_within", p.ApplyWithin}, {"leave_within", p.LeaveWithin}} {
		if d.value <= 0 {
			problems = append(problems, yamlcheck.Problem{Field: d.field, Found: d.value.String(), Expected: "more than 0s"})
		}
	}
	if p.FleetSize < 1 {
		problems = append(problems, yamlcheck.Problem{Field: "fleet_size", Found: fmt.Sprint(p.FleetSize), Expected: "1 or more"})
	}
	return problems
}

var logLevels = []string{"debug", "info", "warn", "error"}

// Validate checks the level and the format.
func (l *Log) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	if !slices.Contains(logLevels, l.Level) {
		problems = append(problems, yamlcheck.Problem{Field: "level", Found: l.Level, Expected: strings.Join(logLevels, ", ")})
	}
	if l.Format != LogJSON && l.Format != LogConsole {
		problems = append(problems, yamlcheck.Problem{Field: "format", Found: string(l.Format), Expected: "json or console"})
	}
	return problems
}

// Validate checks the exporter and what it needs.
func (t *Trace) Validate() []yamlcheck.Problem {
	var problems []yamlcheck.Problem
	switch t.Exporter {
	case TraceNone, TraceStdout:
	case TraceOTLPHTTP:
		if !t.Endpoint.IsValid() {
			problems = append(problems, yamlcheck.Problem{Field: "endpoint", Found: "nothing", Expected: "ip:port of an OTLP receiver"})
		}
	default:
		problems = append(problems, yamlcheck.Problem{Field: "exporter", Found: string(t.Exporter), Expected: "none, stdout or otlphttp"})
	}
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		problems = append(problems, yamlcheck.Problem{
			Field: "sample_ratio", Found: fmt.Sprint(t.SampleRatio), Expected: "a number from 0 to 1",
		})
	}
	return problems
}
