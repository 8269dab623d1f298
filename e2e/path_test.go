package e2e

import (
	"crypto/tls"
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
)

// statusOutput is the part of the JSON output of "auburnladder status" that the test
// checks.
type statusOutput struct {
	Newest struct {
		Sequence uint64 `json:"sequence"`
	} `json:"newest"`
	InForce int `json:"in_force"`
}

// Guards against a break anywhere between the questionnaires and the caller: compiling,
// approving, publishing and distributing a release, and serving calls under it.
func TestWholePath(t *testing.T) {
	Convey("Ten nodes serve calls under a release and apply the amended release that follows", t, func() {
		c, first := startCluster(t)
		So(c.VMs, ShouldHaveLength, 10)
		load, err := c.StartLoad(4, 1)
		So(err, ShouldBeNil)
		So(load.AwaitCalls(200), ShouldBeNil)

		rollOut(c, first, "deadline: 800ms", "deadline: 600ms")
		So(load.AwaitCalls(200), ShouldBeNil)
		load.Stop()

		out, err := c.CLI("status", "--node", c.VMs[3].Admin.String(), "--output", "json")
		So(err, ShouldBeNil)
		var status statusOutput
		So(json.Unmarshal(out, &status), ShouldBeNil)
		So(status.InForce, ShouldEqual, 10)
		So(status.Newest.Sequence, ShouldEqual, 2)

		sum, err := c.CheckCalls(load.Calls.Records())
		So(err, ShouldBeNil)
		// No fault was injected, so every call must have a backend server's response.
		So(sum.Complete["programma"]+sum.Complete["inschrijving"], ShouldEqual, sum.Calls)
	})
}

// Guards against nodes that fail to authenticate each other with mutual TLS, and so
// cannot forward calls or distribute releases.
func TestWholePathWithMutualTLS(t *testing.T) {
	Convey("Ten nodes that authenticate each other by certificate serve calls and apply an amended release", t, func() {
		c, first := startClusterWith(t, harness.Options{Copies: 1, MutualTLS: true})
		// Only the node's certificate is checked. This end has no client certificate, so the
		// node will not accept a session.
		conn, err := tls.Dial("tcp", c.VMs[0].Peer.String(), &tls.Config{InsecureSkipVerify: true})
		So(err, ShouldBeNil)
		defer conn.Close()
		So(conn.ConnectionState().PeerCertificates[0].URIs[0].String(), ShouldEqual, "auburnladder://vm/"+c.VMs[0].ID)
		load, err := c.StartLoad(4, 1)
		So(err, ShouldBeNil)
		So(load.AwaitCalls(200), ShouldBeNil)
		rollOut(c, first, "deadline: 800ms", "deadline: 600ms")
		load.Stop()
		sum, err := c.CheckCalls(load.Calls.Records())
		So(err, ShouldBeNil)
		So(sum.Complete["programma"]+sum.Complete["inschrijving"], ShouldEqual, sum.Calls)
	})
}
