// Package audit requests signed evidence of the held release from every VM and reports
// which VMs hold exactly the approved release.
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

// nonceBytes is the length of a nonce before it is encoded as hexadecimal digits.
const nonceBytes = 32

// Plan is the input of an audit.
type Plan struct {
	// Release is the approved release that every VM must hold.
	Release    release.Version
	Deployment string
	// ApprovalKeyID names the key that approved the release.
	ApprovalKeyID string
	// Trust holds the approval keys. The evidence must contain an approval by one of
	// them.
	Trust *release.Trust
	// NodeKeys holds the public keys of the nodes, which sign the evidence.
	NodeKeys *evidence.Keys
	VMs      []vmlist.VM
	// ListSource names the file or the node that VMs was read from, for the report.
	ListSource string
}

// Report is the result of an audit, with the signed evidence of each VM.
type Report struct {
	AuditedAt     time.Time       `json:"audited_at"`
	Release       release.Version `json:"release"`
	Deployment    string          `json:"deployment"`
	ApprovalKeyID string          `json:"approval_key_id"`
	ListSource    string          `json:"list_source"`
	// Compliant reports whether every VM is compliant. It is false for an empty list.
	Compliant bool `json:"compliant"`
	// Domains is sorted by name.
	Domains []Domain `json:"domains"`
	// VMs is sorted by failure domain and VM.
	VMs []Finding `json:"vms"`
}

// Domain counts the VMs and the compliant VMs of one failure domain.
type Domain struct {
	Domain    string `json:"domain"`
	Compliant int    `json:"compliant"`
	Total     int    `json:"total"`
}

// Finding is the result for one VM.
type Finding struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Admin is the admin address; "" if the VM list gives none.
	Admin     string `json:"admin"`
	Compliant bool   `json:"compliant"`
	// Reason says why the VM is not compliant; "" if it is.
	Reason string `json:"reason,omitempty"`
	// Held and HeldSince are taken from the VM's statement. They are zero if its
	// signature is not valid.
	Held      release.Version `json:"held,omitzero"`
	HeldSince time.Time       `json:"held_since,omitzero"`
	// BehindFirst is how many seconds after the first compliant VM this VM applied the
	// release, by the nodes' own clocks; 0 if the VM is not compliant.
	BehindFirst float64 `json:"behind_first_s"`
	// Nonce was sent with the request and must be in the signed statement, so that a
	// replayed response is detected.
	Nonce string `json:"nonce"`
	// Evidence is the response as received, nil if there was none.
	Evidence *evidence.Signed `json:"evidence,omitempty"`
}

// Run audits every VM of the plan. A VM that is unreachable, or whose evidence can't be
// verified, is not compliant. The report gives now as the time of the audit.
func Run(client *fleet.Client, plan Plan, now time.Time) Report {
	r := Report{
		AuditedAt:     now,
		Release:       plan.Release,
		Deployment:    plan.Deployment,
		ApprovalKeyID: plan.ApprovalKeyID,
		ListSource:    plan.ListSource,
		VMs:           fleet.Each(client, plan.VMs, func(vm vmlist.VM) Finding { return auditVM(client, plan, vm) }),
	}
	slices.SortFunc(r.VMs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.VM, b.VM))
	})
	r.countCompliant()
	r.measureLag()
	return r
}

// auditVM requests evidence from one VM with a new nonce and checks it.
func auditVM(client *fleet.Client, plan Plan, vm vmlist.VM) Finding {
	f := Finding{VM: vm.ID, Service: vm.Service, Domain: vm.Domain, Nonce: newNonce()}
	signed, err := f.fetchEvidence(client, vm)
	if err != nil {
		f.Reason = err.Error()
		return f
	}
	f.Evidence = signed
	expectation := evidence.Expectation{
		VM: vm.ID, Nonce: f.Nonce, Release: plan.Release, Trust: plan.Trust, NodeKeys: plan.NodeKeys,
	}
	statement, err := expectation.Check(signed)
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

// fetchEvidence fills in Admin and returns the VM's response, which is not verified.
func (f *Finding) fetchEvidence(client *fleet.Client, vm vmlist.VM) (*evidence.Signed, error) {
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

// newNonce returns a random nonce in hexadecimal digits.
func newNonce() string {
	b := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// countCompliant fills in Domains and Compliant. An empty list is not compliant.
func (r *Report) countCompliant() {
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

// measureLag fills in BehindFirst of the compliant VMs.
func (r *Report) measureLag() {
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

// Failed returns the findings that are not compliant.
func (r *Report) Failed() []Finding {
	var failed []Finding
	for _, f := range r.VMs {
		if !f.Compliant {
			failed = append(failed, f)
		}
	}
	return failed
}
