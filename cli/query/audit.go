package query

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/audit"
	"auburnladder.example/cli/console"
	"auburnladder.example/cli/releasedir"
	"auburnladder.example/core/evidence"
)

type auditFlags struct {
	release  string
	trust    string
	nodeKeys string
	html     string
	fleet    *fleetFlags
	format   *string
}

func registerAudit(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("audit", "Ask every VM for signed evidence; succeed only if all hold exactly the approved release.")
	f := auditFlags{fleet: addFleetFlags(cmd), format: console.FormatFlag(cmd)}
	cmd.Flag("release", "Directory of the approved release.").Required().ExistingDirVar(&f.release)
	cmd.Flag("trust", "File with the trusted approval keys, one key-id:base64 on each line.").Required().ExistingFileVar(&f.trust)
	cmd.Flag("node-keys", "File with the public keys of the nodes, one vm-id:base64 on each line.").Required().ExistingFileVar(&f.nodeKeys)
	cmd.Flag("html", "File to write the report to as one page of HTML.").StringVar(&f.html)
	cmd.Action(func(*kingpin.ParseContext) error { return runAudit(c, f) })
}

// runAudit prints the report also if VMs are not compliant, and then returns a
// console.FailedError.
func runAudit(c *console.Console, f auditFlags) error {
	plan, err := f.loadPlan()
	if err != nil {
		return err
	}
	client := f.fleet.client(c)
	source, err := f.fleet.loadVMs(client)
	if err != nil {
		return err
	}
	plan.VMs = source.vms
	plan.ListSource = source.description
	report := audit.Run(client, plan, c.Now())
	if err := f.writeReport(c, &report); err != nil {
		return err
	}
	if failed := report.Failed(); len(failed) > 0 || !report.Compliant {
		return console.Failed("%d of %d VMs are not compliant", len(failed), len(report.VMs))
	}
	return nil
}

// loadPlan reads the release and the keys and verifies the approval. VMs and
// ListSource remain empty.
func (f *auditFlags) loadPlan() (audit.Plan, error) {
	var plan audit.Plan
	trust, err := releasedir.ReadTrust(f.trust)
	if err != nil {
		return plan, err
	}
	lines, err := releasedir.ReadKeyLines(f.nodeKeys)
	if err != nil {
		return plan, err
	}
	keys, err := evidence.NewKeys(lines)
	if err != nil {
		return plan, err
	}
	dir, err := releasedir.Read(f.release)
	if err != nil {
		return plan, err
	}
	snapshot, err := dir.Verify(trust)
	if err != nil {
		return plan, console.Failed("%w", err)
	}
	return audit.Plan{
		Release:       dir.Version,
		Deployment:    dir.Manifest.Deployment,
		ApprovalKeyID: snapshot.KeyID,
		Trust:         trust,
		NodeKeys:      keys,
	}, nil
}

// writeReport writes the HTML page, if requested, and prints the report in the
// selected format.
func (f *auditFlags) writeReport(c *console.Console, report *audit.Report) error {
	if f.html != "" {
		file, err := os.Create(f.html)
		if err != nil {
			return fmt.Errorf("audit report: %w", err)
		}
		if err := report.HTML(file); err != nil {
			file.Close()
			return err
		}
		if err := file.Close(); err != nil {
			return fmt.Errorf("audit report: %w", err)
		}
	}
	if *f.format == console.FormatJSON {
		return c.JSON(report)
	}
	return printAudit(c, report)
}

func printAudit(c *console.Console, r *audit.Report) error {
	t := newTable(c.Out, "VM", "SERVICE", "DOMAIN", "HOLDS", "OUTCOME")
	for _, f := range r.VMs {
		outcome := "compliant"
		if !f.Compliant {
			outcome = "NOT COMPLIANT: " + f.Reason
		}
		heldRelease := "-"
		if !f.Held.IsZero() {
			heldRelease = f.Held.String()
		}
		t.addRow(f.VM, f.Service, f.Domain, heldRelease, outcome)
	}
	if err := t.flush(); err != nil {
		return err
	}
	c.Printf("release %s, approved with key %s, list of VMs from %s: %d of %d VMs compliant\n",
		r.Release, r.ApprovalKeyID, r.ListSource, len(r.VMs)-len(r.Failed()), len(r.VMs))
	return nil
}
