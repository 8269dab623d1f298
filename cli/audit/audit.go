// Package audit asks every VM for signed evidence of the release it holds and
// reports which of them hold exactly the approved one.
package audit

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"auburnladder.example/cli/fleet"
	"auburnladder.example/core/evidence"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/vmlist"
)

// nonceBytes is the length of a nonce before it is encoded.
const nonceBytes = 32

// Plan says what is audited.
type Plan struct {
	Release    release.Version
	Deployment string
	// ApprovalKeyID names the key that approved the release.
	ApprovalKeyID string
	Trust         *release.Trust
	NodeKeys      *evidence.Keys
	VMs           []vmlist.VM
	// ListSource says where VMs comes from, for the report.
	ListSource string
}

// Report is the outcome of an audit, with the evidence that supports it.
type Report struct {
	AuditedAt     time.Time       `json:"audited_at"`
	Release       release.Version `json:"release"`
	Deployment    string          `json:"deployment"`
	ApprovalKeyID string          `json:"approval_key_id"`
	ListSource    string          `json:"list_source"`
	// Compliant is true if every VM of the list is.
	Compliant bool      `json:"compliant"`
	Domains   []Domain  `json:"domains"`
	VMs       []Finding `json:"vms"`
}

// Domain counts the VMs of one failure domain.
type Domain struct {
	Domain    string `json:"domain"`
	Compliant int    `json:"compliant"`
	Total     int    `json:"total"`
}

// Finding is the outcome for one VM.
type Finding struct {
	VM        string `json:"vm"`
	Service   string `json:"service"`
	Domain    string `json:"domain"`
	Admin     string `json:"admin"`
	Compliant bool   `json:"compliant"`
	// Reason says why the VM is not compliant.
	Reason string `json:"reason,omitempty"`
	// Held and HeldSince are what the VM stated, zero without a valid signature.
	Held      release.Version `json:"held,omitzero"`
	HeldSince time.Time       `json:"held_since,omitzero"`
	// BehindFirst is how many seconds after the first VM the release came into force
	// here, by the nodes' own clocks.
	BehindFirst float64 `json:"behind_first_s"`
	Nonce       string  `json:"nonce"`
	// Evidence is the answer as received, nil if there was none.
	Evidence *evidence.Signed `json:"evidence,omitempty"`
}

// Run asks every VM of the plan and reports in order of domain and VM.
func Run(client *fleet.Client, plan Plan, now time.Time) Report {
	r := Report{
		AuditedAt:     now,
		Release:       plan.Release,
		Deployment:    plan.Deployment,
		ApprovalKeyID: plan.ApprovalKeyID,
		ListSource:    plan.ListSource,
		VMs:           fleet.Each(client, plan.VMs, func(vm vmlist.VM) Finding { return askVM(client, plan, vm) }),
	}
	slices.SortFunc(r.VMs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.VM, b.VM))
	})
	r.count()
	r.measureSpread()
	return r
}

func askVM(client *fleet.Client, plan Plan, vm vmlist.VM) Finding {
	f := Finding{VM: vm.ID, Service: vm.Service, Domain: vm.Domain, Nonce: newNonce()}
	signed, err := f.ask(client, vm)
	if err != nil {
		f.Reason = err.Error()
		return f
	}
	f.Evidence = signed
	expected := evidence.Expectation{
		VM: vm.ID, Nonce: f.Nonce, Release: plan.Release, Trust: plan.Trust, NodeKeys: plan.NodeKeys,
	}
	statement, err := expected.Check(signed)
	if statement != nil {
		f.Held = statement.Held
		f.HeldSince = statement.HeldSince
	}
	if err != nil {
		f.Reason = err.Error()
		return f
	}
	f.Compliant = true
	return f
}

func (f *Finding) ask(client *fleet.Client, vm vmlist.VM) (*evidence.Signed, error) {
	if !vm.Admin.IsValid() {
		return nil, errors.New("the list of VMs gives no admin address")
	}
	f.Admin = vm.Admin.String()
	var signed evidence.Signed
	if err := client.Get(vm.Admin, statusapi.EvidencePath+"?nonce="+f.Nonce, &signed); err != nil {
		return nil, err
	}
	return &signed, nil
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// count fills in Domains and Compliant. An empty list is not compliant.
func (r *Report) count() {
	r.Compliant = len(r.VMs) > 0
	for _, f := range r.VMs {
		if len(r.Domains) == 0 || r.Domains[len(r.Domains)-1].Domain != f.Domain {
			r.Domains = append(r.Domains, Domain{Domain: f.Domain})
		}
		d := &r.Domains[len(r.Domains)-1]
		d.Total++
		if f.Compliant {
			d.Compliant++
		} else {
			r.Compliant = false
		}
	}
}

func (r *Report) measureSpread() {
	var first time.Time
	for _, f := range r.VMs {
		if f.Compliant && (first.IsZero() || f.HeldSince.Before(first)) {
			first = f.HeldSince
		}
	}
	for i := range r.VMs {
		if f := &r.VMs[i]; f.Compliant {
			f.BehindFirst = f.HeldSince.Sub(first).Seconds()
		}
	}
}

// Failed returns the VMs that are not compliant.
func (r *Report) Failed() []Finding {
	var failed []Finding
	for _, f := range r.VMs {
		if !f.Compliant {
			failed = append(failed, f)
		}
	}
	return failed
}
