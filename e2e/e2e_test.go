// Package e2e tests the system as real processes on loopback addresses.
package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
)

// root is the top directory of the workspace.
const root = ".."

// binaries is where TestMain built the programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "auburnladder-e2e-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	if err := harness.Binaries(root, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// start runs a cluster with its first release in force. Logs and journals stay behind
// if the test fails.
func start(t *testing.T) (*harness.Cluster, *harness.Release) {
	t.Helper()
	return startWith(t, harness.Options{Copies: 1})
}

func startWith(t *testing.T, opts harness.Options) (*harness.Cluster, *harness.Release) {
	t.Helper()
	dir, err := os.MkdirTemp("", "auburnladder-e2e-")
	So(err, ShouldBeNil)
	absolute, err := filepath.Abs(root)
	So(err, ShouldBeNil)
	c, err := harness.Start(absolute, binaries, dir, opts)
	t.Cleanup(func() {
		if c != nil {
			c.Stop()
		}
		if t.Failed() {
			t.Logf("logs and journals: %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	So(err, ShouldBeNil)
	first, err := c.FirstRelease()
	So(err, ShouldBeNil)
	So(c.Publish(first), ShouldBeNil)
	So(c.InForce(first), ShouldBeNil)
	So(c.AllReady(), ShouldBeNil)
	return c, first
}

// rollOut amends an answer of programma, publishes the release that follows base and
// waits until every node holds it.
func rollOut(c *harness.Cluster, base *harness.Release, before, after string) *harness.Release {
	next, err := c.Amend(base, "programma", before, after)
	So(err, ShouldBeNil)
	So(c.Publish(next), ShouldBeNil)
	So(c.InForce(next), ShouldBeNil)
	return next
}
