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

// fixture is a node that holds an approved release, and the expectation of an audit
// that it meets.
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

// compile returns the first release of a deployment with one service, and its snapshot.
func compile(service string) (*questionnaire.Release, *mesh.Snapshot) {
	all, err := questionnaire.Parse([]questionnaire.File{{Name: "q", Data: []byte(questionnaire.Template(service))}})
	So(err, ShouldBeNil)
	r, err := questionnaire.Compile(all, questionnaire.Options{Deployment: "d"})
	So(err, ShouldBeNil)
	snapshot, err := r.Snapshot()
	So(err, ShouldBeNil)
	return r, snapshot
}

// Guards against an audit that rejects valid evidence of a compliant node.
func TestCheckAcceptsFreshEvidence(t *testing.T) {
	Convey("The evidence of a node that holds the expected release is accepted", t, func() {
		f := newFixture()
		signed, err := Sign(f.key, &f.statement)
		So(err, ShouldBeNil)
		st, err := f.expected.Check(signed)
		So(err, ShouldBeNil)
		So(st.Held, ShouldResemble, f.expected.Release)
	})
}

// Guards against an audit that passes a node which doesn't hold the approved release:
// each case changes one part of valid evidence, such as a replayed nonce, another VM's
// statement or a forged approval, and Check must reject it for that reason.
func TestCheckRefuses(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture)
		want   string
	}{
		{"a replayed statement", func(f *fixture) { f.expected.Nonce = strings.Repeat("m", MinNonce) }, "nonce differs"},
		{"a statement about another release", func(f *fixture) { f.statement.Held.Sequence++ }, "holds release 2@"},
		{"a statement without a release", func(f *fixture) { f.statement.Held = release.Version{} }, "holds no release"},
		{"another VM's statement", func(f *fixture) { f.statement.VM = "orders-2" }, "is about VM"},
		{"an approval by a key that is not trusted", func(f *fixture) {
			forger, err := release.GenerateKey("ops")
			So(err, ShouldBeNil)
			a, err := release.ParseApproved(f.statement.Approved)
			So(err, ShouldBeNil)
			a.Approvals = nil
			f.statement.Approved, err = forger.Approve(a).Encode()
			So(err, ShouldBeNil)
		}, "no valid approval"},
		{"a configuration in use that differs from the manifest", func(f *fixture) {
			_, other := compile("other")
			chunks, err := ChunksOf(other)
			So(err, ShouldBeNil)
			f.statement.Chunks = chunks
		}, "differs from the approved manifest"},
		{"a signature by a key that is not listed for the VM", func(f *fixture) {
			key, err := release.GenerateKey(vm)
			So(err, ShouldBeNil)
			f.key = key
		}, "signature is not valid"},
		{"a VM for which no key is listed", func(f *fixture) {
			keys, err := NewKeys(nil)
			So(err, ShouldBeNil)
			f.expected.NodeKeys = keys
		}, "no public key"},
		{"a key ID that is not the VM's", func(f *fixture) { f.key.ID = "orders-2" }, "signed with the key of"},
	}
	for _, c := range cases {
		Convey("Check rejects "+c.name, t, func() {
			f := newFixture()
			c.change(&f)
			signed, err := Sign(f.key, &f.statement)
			So(err, ShouldBeNil)
			_, err = f.expected.Check(signed)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		})
	}
	Convey("Check rejects a statement that was modified after signing", t, func() {
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
