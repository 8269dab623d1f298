package settings

import (
	"maps"
	"slices"

	"auburnladder.example/core/yamlcheck"
)

// PeerTLSMode names how connections between nodes are authenticated and encrypted.
type PeerTLSMode string

const (
	// PeerTLSMutual uses mutual TLS: each node proves with a certificate which VM it
	// runs on.
	PeerTLSMutual PeerTLSMode = "mutual"
	// PeerTLSPlain uses no TLS: a node trusts any process that can connect to it.
	PeerTLSPlain PeerTLSMode = "plain"
)

// PeerTLS configures TLS between nodes. Mode has no default, so that plain connections
// have to be chosen explicitly.
type PeerTLS struct {
	Mode PeerTLSMode `yaml:"mode" check:"required"`
	// Cert, Key and CA are paths of PEM files, required by PeerTLSMutual and not allowed
	// with PeerTLSPlain. Changed files are reloaded without a restart.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
	// Reload is the interval at which the files are checked for changes; the default
	// is 10 s.
	Reload yamlcheck.Duration `yaml:"reload"`
}

// problems checks the mode, the files that it requires and the reload interval. The fields
// that it reports carry the prefix "peer_tls.".
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
