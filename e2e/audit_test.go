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

// exitFailed is the exit code of "auburnladder audit" when the audit ran and found a
// non-compliant VM.
const exitFailed = 1

// auditOutput is the part of the JSON output of "auburnladder audit" that the test checks.
type auditOutput struct {
	Compliant bool `json:"compliant"`
	VMs       []struct {
		VM        string `json:"vm"`
		Compliant bool   `json:"compliant"`
		Reason    string `json:"reason"`
	} `json:"vms"`
}

// auditor runs audits of a cluster whose nodes sign evidence with their own keys.
type auditor struct {
	cluster  *harness.Cluster
	nodeKeys string
}

// newAuditor generates a key for each node, restarts the node with it, and waits until
// every node holds the active release again.
func newAuditor(c *harness.Cluster, active *harness.Release) *auditor {
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
	So(c.AwaitActive(active), ShouldBeNil)
	return a
}

// amendSettings edits a node's settings file, restarts the node and waits until it is
// ready.
func amendSettings(c *harness.Cluster, vm *harness.VM, amend func(string) string) {
	file := filepath.Join(c.Dir, vm.ID+".yaml")
	text, err := os.ReadFile(file)
	So(err, ShouldBeNil)
	So(os.WriteFile(file, []byte(amend(string(text))), 0o600), ShouldBeNil)
	So(c.KillNode(vm), ShouldBeNil)
	So(c.StartNode(vm), ShouldBeNil)
	So(c.MarkReady(vm), ShouldBeNil)
}

// audit runs "auburnladder audit" for a release and returns its output and exit code.
func (a *auditor) audit(r *harness.Release) (auditOutput, int) {
	out, err := a.cluster.CLI("audit", "--release", r.Dir, "--trust", filepath.Join(a.cluster.Dir, "approval.key.pub"),
		"--node-keys", a.nodeKeys, "--node", a.cluster.VMs[0].Admin.String(), "--output", "json")
	code := 0
	if err != nil {
		var exit *exec.ExitError
		So(errors.As(err, &exit), ShouldBeTrue)
		code = exit.ExitCode()
	}
	var output auditOutput
	So(json.Unmarshal(out, &output), ShouldBeNil)
	return output, code
}

// assertOnlyNonCompliant asserts that the audit reports vm, and no other VM, as
// non-compliant, with a reason that contains the given text.
func (a *auditor) assertOnlyNonCompliant(r *harness.Release, vm *harness.VM, reason string) {
	output, code := a.audit(r)
	So(code, ShouldEqual, exitFailed)
	So(output.VMs, ShouldHaveLength, len(a.cluster.VMs))
	for _, f := range output.VMs {
		So(f.Compliant, ShouldEqual, f.VM != vm.ID)
		if f.VM == vm.ID {
			So(f.Reason, ShouldContainSubstring, reason)
		}
	}
}

// assertCompliant asserts that the audit finds every VM compliant.
func (a *auditor) assertCompliant(r *harness.Release) {
	output, code := a.audit(r)
	So(code, ShouldEqual, 0)
	So(output.Compliant, ShouldBeTrue)
}

// publishRogue publishes a release that follows base and is approved with a rogue key,
// and waits until vm holds it. Only vm trusts the rogue key, in addition to the regular one.
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

// Guards against an audit that passes, or blames the wrong VM, when one node is
// unreachable or holds a release that was approved with an untrusted key.
func TestAuditNamesNonCompliantVMs(t *testing.T) {
	Convey("An audit of real nodes fails for exactly the VM that does not hold the approved release", t, func() {
		c, first := startCluster(t)
		a := newAuditor(c, first)
		a.assertCompliant(first)

		unreachable := c.VMs[7]
		So(c.KillNode(unreachable), ShouldBeNil)
		a.assertOnlyNonCompliant(first, unreachable, "connection refused")
		So(c.StartNode(unreachable), ShouldBeNil)
		So(c.AwaitActive(first), ShouldBeNil)
		a.assertCompliant(first)

		other := c.VMs[4]
		a.publishRogue(first, other)
		a.assertOnlyNonCompliant(first, other, "holds release 2@")
	})
}
