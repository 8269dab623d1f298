package e2e

import (
	"crypto/tls"
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/e2e/harness"
)

// statusAnswer is the part of the answer of "auburnladder status" that is checked.
type statusAnswer struct {
	Newest struct {
		Sequence uint64 `json:"sequence"`
	} `json:"newest"`
	InForce int `json:"in_force"`
}

func TestWholePath(t *testing.T) {
	Convey("Ten nodes serve calls under a release and take over an amended one", t, func() {
		c, first := start(t)
		So(c.VMs, ShouldHaveLength, 10)
		load, err := c.StartLoad(4, 1)
		So(err, ShouldBeNil)
		So(load.More(200), ShouldBeNil)

		rollOut(c, first, "deadline: 800ms", "deadline: 600ms")
		So(load.More(200), ShouldBeNil)
		load.Stop()

		out, err := c.CLI("status", "--node", c.VMs[3].Admin.String(), "--output", "json")
		So(err, ShouldBeNil)
		var status statusAnswer
		So(json.Unmarshal(out, &status), ShouldBeNil)
		So(status.InForce, ShouldEqual, 10)
		So(status.Newest.Sequence, ShouldEqual, 2)

		sum, err := c.CheckCalls(load.Calls.Records())
		So(err, ShouldBeNil)
		// No fault was brought about, so every call got a backend server's answer.
		So(sum.Whole["programma"]+sum.Whole["inschrijving"], ShouldEqual, sum.Calls)
	})
}

func TestWholePathWithMutualTLS(t *testing.T) {
	Convey("Ten nodes that prove their VMs to each other serve calls and take over an amended release", t, func() {
		c, first := startWith(t, harness.Options{Copies: 1, MutualTLS: true})
		// Only the certificate is looked at; without one of its own this end gets no further.
		conn, err := tls.Dial("tcp", c.VMs[0].Peer.String(), &tls.Config{InsecureSkipVerify: true})
		So(err, ShouldBeNil)
		defer conn.Close()
		So(conn.ConnectionState().PeerCertificates[0].URIs[0].String(), ShouldEqual, "auburnladder://vm/"+c.VMs[0].ID)
		load, err := c.StartLoad(4, 1)
		So(err, ShouldBeNil)
		So(load.More(200), ShouldBeNil)
		rollOut(c, first, "deadline: 800ms", "deadline: 600ms")
		load.Stop()
		sum, err := c.CheckCalls(load.Calls.Records())
		So(err, ShouldBeNil)
		So(sum.Whole["programma"]+sum.Whole["inschrijving"], ShouldEqual, sum.Calls)
	})
}
