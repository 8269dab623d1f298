package evidence

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/questionnaire"
	"auburnladder.example/core/release"
)

const vm = "orders-1"

var nonce = strings.Repeat("n", MinNonce)

// fixture is a node that holds an approved release, and the audit that asks it.
type fixture struct {
	key       *release.SigningKey
	statement Statement
	expected  Expectation
}

func newFixture() fixture {
	approval, err := release.GenerateKey("ops")
	So(err, ShouldBeNil)
	nodeKey, err := release.GenerateKey(vm)
	So(err, ShouldBeNil)
	trust, err := release.NewTrust([]string{approval.Public()})
	So(err, ShouldBeNil)
	keys, err := NewKeys([]string{nodeKey.Public()})
	So(err, ShouldBeNil)
	r, snapshot := compile("orders")
	approved, err := approval.Approve(&release.Approved{Manifest: r.Encoded}).Encode()
	So(err, ShouldBeNil)
	chunks, err := ChunksOf(snapshot)
	So(err, ShouldBeNil)
	return fixture{
		key: nodeKey,
		statement: Statement{
			Format: Format, Nonce: nonce, VM: vm, Held: r.Version, Chunks: chunks,
			Approved: approved, HeldSince: time.Unix(1, 0), At: time.Unix(2, 0),
		},
		expected: Expectation{VM: vm, Nonce: nonce, Release: r.Version, Trust: trust, NodeKeys: keys},
	}
}

func compile(service string) (*questionnaire.Release, *mesh.Snapshot) {
	all, err := questionnaire.Parse([]questionnaire.File{{Name: "q", Data: []byte(questionnaire.Template(service))}})
	So(err, ShouldBeNil)
	r, err := questionnaire.Compile(all, questionnaire.Options{Deployment: "d"})
	So(err, ShouldBeNil)
	snapshot, err := r.Snapshot()
	So(err, ShouldBeNil)
	return r, snapshot
}

func TestCheckAcceptsFreshEvidence(t *testing.T) {
	Convey("A node that holds the release passes", t, func() {
		f := newFixture()
		signed, err := Sign(f.key, &f.statement)
		So(err, ShouldBeNil)
		st, err := f.expected.Check(signed)
		So(err, ShouldBeNil)
		So(st.Held, ShouldResemble, f.expected.Release)
	})
}

func TestCheckRefuses(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture)
		want   string
	}{
		{"a replayed answer", func(f *fixture) { f.expected.Nonce = strings.Repeat("m", MinNonce) }, "nonce differs"},
		{"another release", func(f *fixture) { f.statement.Held.Sequence++ }, "holds release 2@"},
		{"no release", func(f *fixture) { f.statement.Held = release.Version{} }, "holds no release"},
		{"another VM's statement", func(f *fixture) { f.statement.VM = "orders-2" }, "is about VM"},
		{"a forged approval", func(f *fixture) {
			forger, err := release.GenerateKey("ops")
			So(err, ShouldBeNil)
			a, err := release.ParseApproved(f.statement.Approved)
			So(err, ShouldBeNil)
			a.Approvals = nil
			f.statement.Approved, err = forger.Approve(a).Encode()
			So(err, ShouldBeNil)
		}, "no valid approval"},
		{"configuration in use that is not the manifest's", func(f *fixture) {
			_, other := compile("other")
			chunks, err := ChunksOf(other)
			So(err, ShouldBeNil)
			f.statement.Chunks = chunks
		}, "differs from the approved manifest"},
		{"another node's key", func(f *fixture) {
			key, err := release.GenerateKey(vm)
			So(err, ShouldBeNil)
			f.key = key
		}, "signature is not valid"},
		{"a VM without a listed key", func(f *fixture) {
			keys, err := NewKeys(nil)
			So(err, ShouldBeNil)
			f.expected.NodeKeys = keys
		}, "no public key"},
		{"a key under another name", func(f *fixture) { f.key.ID = "orders-2" }, "signed with the key of"},
	}
	for _, c := range cases {
		Convey("The check refuses "+c.name, t, func() {
			f := newFixture()
			c.change(&f)
			signed, err := Sign(f.key, &f.statement)
			So(err, ShouldBeNil)
			_, err = f.expected.Check(signed)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		})
	}
	Convey("The check refuses a statement that was changed after signing", t, func() {
		f := newFixture()
		f.statement.Held.Sequence++
		signed, err := Sign(f.key, &f.statement)
		So(err, ShouldBeNil)
		f.statement.Held.Sequence--
		signed.Statement, err = json.Marshal(f.statement)
		So(err, ShouldBeNil)
		_, err = f.expected.Check(signed)
		So(err.Error(), ShouldContainSubstring, "signature is not valid")
	})
}
