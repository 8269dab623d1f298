package release

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func newKey(t testing.TB, id string) (*SigningKey, *Trust) {
	t.Helper()
	key, err := GenerateKey(id)
	if err != nil {
		t.Fatal(err)
	}
	trust, err := NewTrust([]string{key.Public()})
	if err != nil {
		t.Fatal(err)
	}
	return key, trust
}

func manifestOf(sequence uint64, salts map[string]int) *Manifest {
	m := &Manifest{Format: FormatVersion, Deployment: "test", Sequence: sequence}
	for name, salt := range salts {
		m.Chunks = append(m.Chunks, ChunkRef{Name: name, Digest: DigestOf(fmt.Append(nil, name, salt)), Size: 10 + salt})
	}
	slices.SortFunc(m.Chunks, func(a, b ChunkRef) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return m
}

func verified(t testing.TB, key *SigningKey, trust *Trust, m *Manifest) *Verified {
	t.Helper()
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	v, err := trust.Verify(key.Approve(&Approved{Manifest: data}))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestVersionOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) Version {
			return Version{
				Sequence: rapid.Uint64Range(1, 3).Draw(rt, name),
				Digest:   DigestOf([]byte{rapid.Byte().Draw(rt, name+" digest")}),
			}
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		if a.Compare(b) != -b.Compare(a) || (a.Compare(b) == 0) != (a == b) {
			rt.Fatalf("%s and %s are not ordered", a, b)
		}
		if a.Newer(b) && b.Newer(c) && !a.Newer(c) {
			rt.Fatalf("%s > %s > %s is not transitive", a, b, c)
		}
		if !a.Newer(Version{}) {
			rt.Fatalf("%s is not newer than none", a)
		}
	})
}

func TestDeltaRebuildsManifest(t *testing.T) {
	key, trust := newKey(t, "ops")
	salts := rapid.MapOfN(rapid.StringMatching(`[a-f]{1,2}`), rapid.IntRange(0, 2), 1, 12)
	rapid.Check(t, func(rt *rapid.T) {
		base := verified(t, key, trust, manifestOf(1, salts.Draw(rt, "base")))
		target := verified(t, key, trust, manifestOf(2, salts.Draw(rt, "target")))
		approved, err := NewDelta(base, target).Apply(base)
		if err != nil {
			rt.Fatal(err)
		}
		if !bytes.Equal(approved.Manifest, target.Approved.Manifest) {
			rt.Fatalf("rebuilt %s, expected %s", approved.Manifest, target.Approved.Manifest)
		}
		whole, err := trust.Verify(approved)
		if err != nil {
			rt.Fatal(err)
		}
		short, err := trust.VerifyDelta(base, NewDelta(base, target))
		if err != nil || !reflect.DeepEqual(short, whole) {
			rt.Fatalf("verified %+v by the delta, %+v by the whole manifest: %v", short, whole, err)
		}
	})
}

func TestDeltaRefusals(t *testing.T) {
	key, trust := newKey(t, "ops")
	base := verified(t, key, trust, manifestOf(1, map[string]int{"a": 1, "b": 1}))
	target := verified(t, key, trust, manifestOf(2, map[string]int{"a": 2, "c": 1}))
	cases := map[string]func(*Delta){
		"another base":       func(d *Delta) { d.Base.Sequence++ },
		"a changed digest":   func(d *Delta) { d.Changed[0].Digest[0]++ },
		"a missing removal":  func(d *Delta) { d.Removed = nil },
		"another parent":     func(d *Delta) { d.Parent[0]++ },
		"another deployment": func(d *Delta) { d.Deployment = "other" },
		"an unordered list":  func(d *Delta) { slices.Reverse(d.Changed) },
		"too many chunks":    func(d *Delta) { d.Changed = make([]ChunkRef, MaxChunks+1) },
		"too many approvals": func(d *Delta) { d.Approvals = make([]Approval, maxApprovals+1) },
	}
	Convey("A delta is refused with", t, func() {
		_, err := NewDelta(base, target).Apply(base)
		So(err, ShouldBeNil)
		for name, change := range cases {
			Convey(name, func() {
				d := NewDelta(base, target)
				change(d)
				_, err := d.Apply(base)
				So(err, ShouldNotBeNil)
				_, err = trust.VerifyDelta(base, d)
				So(err, ShouldNotBeNil)
			})
		}
	})
}

func TestApproval(t *testing.T) {
	oldKey, oldTrust := newKey(t, "2025")
	newKeyPair, newTrust := newKey(t, "2026")
	both, err := NewTrust([]string{oldKey.Public(), newKeyPair.Public()})
	if err != nil {
		t.Fatal(err)
	}
	data, err := manifestOf(1, map[string]int{"a": 1}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	approved := newKeyPair.Approve(&Approved{Manifest: data})
	Convey("Only an approval by a trusted key over exactly these bytes counts", t, func() {
		_, err := oldTrust.Verify(approved)
		So(err, ShouldNotBeNil)
		_, err = newTrust.Verify(approved)
		So(err, ShouldBeNil)
		_, err = both.Verify(approved)
		So(err, ShouldBeNil)
		other, err := manifestOf(2, map[string]int{"a": 1}).Encode()
		So(err, ShouldBeNil)
		_, err = both.Verify(&Approved{Manifest: other, Approvals: approved.Approvals})
		So(err, ShouldNotBeNil)
	})
	Convey("A release of another deployment does not count", t, func() {
		for name, accepted := range map[string]bool{"": true, "test": true, "other": false} {
			_, err := both.ForDeployment(name).Verify(approved)
			So(err == nil, ShouldEqual, accepted)
		}
	})
	Convey("A delta needs an approval like a whole manifest", t, func() {
		base := verified(t, newKeyPair, newTrust, manifestOf(1, map[string]int{"a": 1}))
		target := verified(t, newKeyPair, newTrust, manifestOf(2, map[string]int{"a": 2}))
		_, err := oldTrust.VerifyDelta(base, NewDelta(base, target))
		So(err, ShouldNotBeNil)
	})
	Convey("Approvals by the old and the new key may overlap", t, func() {
		twice := oldKey.Approve(approved)
		for _, trust := range []*Trust{oldTrust, newTrust} {
			_, err := trust.Verify(twice)
			So(err, ShouldBeNil)
		}
	})
}

func FuzzParse(f *testing.F) {
	key, _ := newKey(f, "ops")
	data, err := manifestOf(1, map[string]int{"a": 1, "b": 2}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	approved, err := key.Approve(&Approved{Manifest: data}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{data, approved, nil, []byte("{}"), append(data, '{'), bytes.Replace(data, []byte(`"a"`), []byte(`"z"`), 1)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := ParseManifest(data); err == nil {
			again, err := m.Encode()
			if err != nil || !bytes.Equal(again, data) {
				t.Fatalf("accepted manifest encodes to other bytes: %v", err)
			}
		}
		if a, err := ParseApproved(data); err == nil {
			_, _ = a.Version()
		}
	})
}

func FuzzDelta(f *testing.F) {
	key, trust := newKey(f, "ops")
	base := verified(f, key, trust, manifestOf(1, map[string]int{"a": 1, "b": 1}))
	target := verified(f, key, trust, manifestOf(2, map[string]int{"a": 2, "c": 1}))
	f.Add("a", "b", 12, uint64(2))
	f.Add("", "", -1, uint64(0))
	f.Fuzz(func(t *testing.T, changed, removed string, size int, sequence uint64) {
		d := NewDelta(base, target)
		d.Changed = append(d.Changed, ChunkRef{Name: changed, Size: size})
		d.Removed = append(d.Removed, removed)
		d.Version.Sequence = sequence
		approved, err := d.Apply(base)
		if err == nil && DigestOf(approved.Manifest) != d.Version.Digest {
			t.Fatal("rebuilt manifest has another digest")
		}
	})
}
