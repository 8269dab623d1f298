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

func newManifest(sequence uint64, salts map[string]int) *Manifest {
	m := &Manifest{Format: FormatVersion, Deployment: "test", Sequence: sequence}
	for name, salt := range salts {
		m.Chunks = append(m.Chunks, ChunkRef{Name: name, Digest: DigestOf(fmt.Append(nil, name, salt)), Size: 10 + salt})
	}
	slices.SortFunc(m.Chunks, func(a, b ChunkRef) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return m
}

func verify(t testing.TB, key *SigningKey, trust *Trust, m *Manifest) *Verified {
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

// TestVersionOrder guards against nodes that disagree about which of two releases is
// newer, which happens if the order of versions is not total.
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
			rt.Fatalf("Compare of %s and %s is not antisymmetric", a, b)
		}
		if a.Newer(b) && b.Newer(c) && !a.Newer(c) {
			rt.Fatalf("Newer is not transitive for %s, %s, %s", a, b, c)
		}
		if !a.Newer(Version{}) {
			rt.Fatalf("%s is not newer than the zero version", a)
		}
	})
}

// TestLimitsOfStoredChunks guards against limits of stored chunks that refuse a release whose chunks
// are not stored.
func TestLimitsOfStoredChunks(t *testing.T) {
	sized := func(bytes int) *Manifest {
		m := newManifest(1, map[string]int{"a": 1})
		m.Chunks[0].Size = bytes
		return m
	}
	counted := func(chunks int) *Manifest {
		salts := make(map[string]int, chunks)
		for i := range chunks {
			salts[fmt.Sprint("s", i)] = 1
		}
		return newManifest(1, salts)
	}
	Convey("Encode takes chunks up to the limits, and EncodeLocal those above them as well", t, func() {
		for _, m := range []*Manifest{sized(MaxValueBytes), counted(MaxChunks)} {
			_, err := m.Encode()
			So(err, ShouldBeNil)
		}
		for _, m := range []*Manifest{sized(MaxValueBytes + 1), counted(MaxChunks + 1)} {
			_, err := m.Encode()
			So(err, ShouldNotBeNil)
			_, err = m.EncodeLocal()
			So(err, ShouldBeNil)
		}
	})
}

// TestDeltaRebuildsManifest guards against a delta that rebuilds other bytes than the
// target's manifest, which would invalidate the approvals.
func TestDeltaRebuildsManifest(t *testing.T) {
	key, trust := newKey(t, "ops")
	salts := rapid.MapOfN(rapid.StringMatching(`[a-f]{1,2}`), rapid.IntRange(0, 2), 1, 12)
	rapid.Check(t, func(rt *rapid.T) {
		base := verify(t, key, trust, newManifest(1, salts.Draw(rt, "base")))
		target := verify(t, key, trust, newManifest(2, salts.Draw(rt, "target")))
		approved, err := NewDelta(base, target).Apply(base)
		if err != nil {
			rt.Fatal(err)
		}
		if !bytes.Equal(approved.Manifest, target.Approved.Manifest) {
			rt.Fatalf("rebuilt %s, expected %s", approved.Manifest, target.Approved.Manifest)
		}
		fromManifest, err := trust.Verify(approved)
		if err != nil {
			rt.Fatal(err)
		}
		fromDelta, err := trust.VerifyDelta(base, NewDelta(base, target))
		if err != nil || !reflect.DeepEqual(fromDelta, fromManifest) {
			rt.Fatalf("verified from the delta: %+v, from the complete manifest: %+v, error: %v", fromDelta, fromManifest, err)
		}
	})
}

// TestDeltaRefusals guards against accepting a delta that does not fit its base, was
// altered, or exceeds the limits.
func TestDeltaRefusals(t *testing.T) {
	key, trust := newKey(t, "ops")
	base := verify(t, key, trust, newManifest(1, map[string]int{"a": 1, "b": 1}))
	target := verify(t, key, trust, newManifest(2, map[string]int{"a": 2, "c": 1}))
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
	Convey("Apply and VerifyDelta refuse a delta with", t, func() {
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

// TestApproval guards against accepting a release without a valid approval by a trusted
// key for its exact bytes and its deployment.
func TestApproval(t *testing.T) {
	oldKey, oldTrust := newKey(t, "2025")
	newKeyPair, newTrust := newKey(t, "2026")
	both, err := NewTrust([]string{oldKey.Public(), newKeyPair.Public()})
	if err != nil {
		t.Fatal(err)
	}
	data, err := newManifest(1, map[string]int{"a": 1}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	approved := newKeyPair.Approve(&Approved{Manifest: data})
	Convey("Verify accepts only an approval by a trusted key over the exact manifest bytes", t, func() {
		_, err := oldTrust.Verify(approved)
		So(err, ShouldNotBeNil)
		_, err = newTrust.Verify(approved)
		So(err, ShouldBeNil)
		_, err = both.Verify(approved)
		So(err, ShouldBeNil)
		other, err := newManifest(2, map[string]int{"a": 1}).Encode()
		So(err, ShouldBeNil)
		_, err = both.Verify(&Approved{Manifest: other, Approvals: approved.Approvals})
		So(err, ShouldNotBeNil)
	})
	Convey("Verify refuses a release of another deployment", t, func() {
		for name, accepted := range map[string]bool{"": true, "test": true, "other": false} {
			_, err := both.ForDeployment(name).Verify(approved)
			So(err == nil, ShouldEqual, accepted)
		}
	})
	Convey("VerifyDelta requires an approval as Verify does", t, func() {
		base := verify(t, newKeyPair, newTrust, newManifest(1, map[string]int{"a": 1}))
		target := verify(t, newKeyPair, newTrust, newManifest(2, map[string]int{"a": 2}))
		_, err := oldTrust.VerifyDelta(base, NewDelta(base, target))
		So(err, ShouldNotBeNil)
	})
	Convey("A release approved by the old and the new key is accepted by holders of either", t, func() {
		byBoth := oldKey.Approve(approved)
		for _, trust := range []*Trust{oldTrust, newTrust} {
			_, err := trust.Verify(byBoth)
			So(err, ShouldBeNil)
		}
	})
}

// FuzzParse checks that no input makes the parsers panic and that ParseManifest accepts
// only canonical bytes.
func FuzzParse(f *testing.F) {
	key, _ := newKey(f, "ops")
	data, err := newManifest(1, map[string]int{"a": 1, "b": 2}).Encode()
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
				t.Fatalf("ParseManifest accepted bytes that are not canonical: %v", err)
			}
		}
		if a, err := ParseApproved(data); err == nil {
			_, _ = a.Version()
		}
	})
}

// FuzzDelta checks that Apply never returns a manifest whose digest differs from that of
// the delta's version.
func FuzzDelta(f *testing.F) {
	key, trust := newKey(f, "ops")
	base := verify(f, key, trust, newManifest(1, map[string]int{"a": 1, "b": 1}))
	target := verify(f, key, trust, newManifest(2, map[string]int{"a": 2, "c": 1}))
	f.Add("a", "b", 12, uint64(2))
	f.Add("", "", -1, uint64(0))
	f.Fuzz(func(t *testing.T, changed, removed string, size int, sequence uint64) {
		d := NewDelta(base, target)
		d.Changed = append(d.Changed, ChunkRef{Name: changed, Size: size})
		d.Removed = append(d.Removed, removed)
		d.Version.Sequence = sequence
		approved, err := d.Apply(base)
		if err == nil && DigestOf(approved.Manifest) != d.Version.Digest {
			t.Fatal("digest of the rebuilt manifest differs from that of the version")
		}
	})
}
