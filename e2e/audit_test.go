package e2e

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
)

// exitFailed is the exit code of a check that was made and failed.
const exitFailed = 1

// auditAnswer is the part of the answer of "auburnladder audit" that is checked.
type auditAnswer struct {
	Compliant bool `json:"compliant"`
	VMs       []struct {
		VM        string `json:"vm"`
		Compliant bool   `json:"compliant"`
		Reason    string `json:"reason"`
	} `json:"vms"`
}

// auditor audits a cluster whose nodes have keys for evidence.
type auditor struct {
	cluster  *harness.Cluster
	nodeKeys string
}

// newAuditor gives each node a key and restarts it.
func newAuditor(c *harness.Cluster, inForce *harness.Release) *auditor {
	a := &auditor{cluster: c, nodeKeys: filepath.Join(c.Dir, "node-keys")}
	var public []byte
	for _, vm := range c.VMs {
		key := filepath.Join(c.Dir, "node-key-"+vm.ID)
		_, err := c.CLI("keygen", "--id", vm.ID, "--out", key)
		So(err, ShouldBeNil)
		private, err := os.ReadFile(key)
		So(err, ShouldBeNil)
		amendSettings(c, vm, func(text string) string { return text + "node_key: \"" + strings.TrimSpace(string(private)) + "\"\n" })
		line, err := os.ReadFile(key + ".pub")
		So(err, ShouldBeNil)
		public = append(public, line...)
	}
	So(os.WriteFile(a.nodeKeys, public, 0o600), ShouldBeNil)
	So(c.InForce(inForce), ShouldBeNil)
	return a
}

// amendSettings changes a node's settings and restarts it.
func amendSettings(c *harness.Cluster, vm *harness.VM, amend func(string) string) {
	file := filepath.Join(c.Dir, vm.ID+".yaml")
	text, err := os.ReadFile(file)
	So(err, ShouldBeNil)
	So(os.WriteFile(file, []byte(amend(string(text))), 0o600), ShouldBeNil)
	So(c.KillNode(vm), ShouldBeNil)
	So(c.StartNode(vm), ShouldBeNil)
	So(c.MarkReady(vm), ShouldBeNil)
}

// audit returns the answer for a release and the exit code.
func (a *auditor) audit(r *harness.Release) (auditAnswer, int) {
	out, err := a.cluster.CLI("audit", "--release", r.Dir, "--trust", filepath.Join(a.cluster.Dir, "approval.key.pub"),
		"--node-keys", a.nodeKeys, "--node", a.cluster.VMs[0].Admin.String(), "--output", "json")
	code := 0
	if err != nil {
		var exit *exec.ExitError
		So(errors.As(err, &exit), ShouldBeTrue)
		code = exit.ExitCode()
	}
	var answer auditAnswer
	So(json.Unmarshal(out, &answer), ShouldBeNil)
	return answer, code
}

// failsFor checks that the audit fails for exactly one VM.
func (a *auditor) failsFor(r *harness.Release, vm *harness.VM, reason string) {
	answer, code := a.audit(r)
	So(code, ShouldEqual, exitFailed)
	So(answer.VMs, ShouldHaveLength, len(a.cluster.VMs))
	for _, f := range answer.VMs {
		So(f.Compliant, ShouldEqual, f.VM != vm.ID)
		if f.VM == vm.ID {
			So(f.Reason, ShouldContainSubstring, reason)
		}
	}
}

// passes checks that the audit succeeds.
func (a *auditor) passes(r *harness.Release) {
	answer, code := a.audit(r)
	So(code, ShouldEqual, 0)
	So(answer.Compliant, ShouldBeTrue)
}

// publishRogue publishes the release after base, approved with a key that one node
// trusts besides the right one.
func (a *auditor) publishRogue(base *harness.Release, vm *harness.VM) {
	c := a.cluster
	key := filepath.Join(c.Dir, "rogue.key")
	dir := filepath.Join(c.Dir, "release-rogue")
	for _, args := range [][]string{
		{"keygen", "--id", "rogue", "--out", key},
		{"compile", "--questionnaires", filepath.Join(root, "examples/zaalwijzer/questionnaires"), "--base", base.Dir, "--out", dir},
		{"approve", "--key", key, dir},
	} {
		_, err := c.CLI(args...)
		So(err, ShouldBeNil)
	}
	public, err := os.ReadFile(key + ".pub")
	So(err, ShouldBeNil)
	amendSettings(c, vm, func(text string) string {
		return strings.Replace(text, "approval_keys: [", "approval_keys: [\""+strings.TrimSpace(string(public))+"\", ", 1)
	})
	So(c.Publish(&harness.Release{Sequence: base.Sequence + 1, Dir: dir}), ShouldBeNil)
	So(harness.Eventually("the rogue release on "+vm.ID, func() error {
		s, err := c.Status(vm)
		if err == nil && s.Held.Sequence != base.Sequence+1 {
			err = errors.New("holds " + s.Held.String())
		}
		return err
	}), ShouldBeNil)
}

func TestAuditNamesNonCompliantVMs(t *testing.T) {
	Convey("An audit of real nodes fails for exactly the VM that does not hold the approved release", t, func() {
		c, first := start(t)
		a := newAuditor(c, first)
		a.passes(first)

		unreachable := c.VMs[7]
		So(c.KillNode(unreachable), ShouldBeNil)
		a.failsFor(first, unreachable, "connection refused")
		So(c.StartNode(unreachable), ShouldBeNil)
		So(c.InForce(first), ShouldBeNil)
		a.passes(first)

		other := c.VMs[4]
		a.publishRogue(first, other)
		a.failsFor(first, other, "holds release 2@")
	})
}
