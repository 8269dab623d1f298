// Package e2e tests the system end to end: it runs the real programs as processes on
// loopback addresses.
package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
)

// root is the workspace's top directory, relative to this package.
const root = ".."

// binDir is the directory into which TestMain builds the programs.
var binDir string

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
	binDir = dir
	if err := harness.BuildBinaries(root, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startCluster starts a cluster and waits until its first release is active and all
// nodes are ready. Logs and journals are kept if the test fails.
func startCluster(t *testing.T) (*harness.Cluster, *harness.Release) {
	t.Helper()
	return startClusterWith(t, harness.Options{Copies: 1})
}

func startClusterWith(t *testing.T, opts harness.Options) (*harness.Cluster, *harness.Release) {
	t.Helper()
	dir, err := os.MkdirTemp("", "auburnladder-e2e-")
	So(err, ShouldBeNil)
	absolute, err := filepath.Abs(root)
	So(err, ShouldBeNil)
	c, err := harness.Start(absolute, binDir, dir, opts)
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
	So(c.AwaitActive(first), ShouldBeNil)
	So(c.AwaitAllReady(), ShouldBeNil)
	return c, first
}

// rollOut replaces text in the questionnaire of programma, publishes the release that
// follows base, and waits until every node holds it.
func rollOut(c *harness.Cluster, base *harness.Release, before, after string) *harness.Release {
	next, err := c.Amend(base, "programma", before, after)
	So(err, ShouldBeNil)
	So(c.Publish(next), ShouldBeNil)
	So(c.AwaitActive(next), ShouldBeNil)
	return next
}
