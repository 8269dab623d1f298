package settings

import (
	"maps"
	"slices"

	"auburnladder.example/core/yamlcheck"
)

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
