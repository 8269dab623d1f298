package distribution

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/s2"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"auburnladder.example/core/distribution"
	"auburnladder.example/core/release"
	"auburnladder.example/wire/peerpb"
)

func testDelta() *release.Delta {
	version := func(n uint64) release.Version {
		return release.Version{Sequence: n, Digest: release.DigestOf([]byte{byte(n)})}
	}
	return &release.Delta{
		Base: version(1), Version: version(2), Parent: version(1).Digest, Deployment: "test",
		Changed:   []release.ChunkRef{{Name: "a", Digest: version(3).Digest, Size: 7}},
		Removed:   []string{"b", "c"},
		Approvals: []release.Approval{{KeyID: "ops", Signature: []byte{1, 2}}},
	}
}

func TestDeltaMessage(t *testing.T) {
	Convey("A delta is unchanged by encoding and decoding, and an invalid one is dropped", t, func() {
		d := testDelta()
		back, err := deltaOf(deltaMessage(d))
		So(err, ShouldBeNil)
		So(back, ShouldResemble, d)

		m := deltaMessage(d)
		m.Changed[0].Digest = m.Changed[0].Digest[1:]
		ev := manifestReceived(distribution.FetchManifest{}, &peerpb.ManifestReply{Found: true, Delta: m})
		So(ev.Delta, ShouldBeNil)
		So(ev.Approved, ShouldBeNil)
	})
}

// A peer must not make this node allocate more than the limit by a false size.
func TestDecompress(t *testing.T) {
	Convey("A value is unchanged by compression and decompression, and one whose claimed size is above the limit is rejected", t, func() {
		list := bytes.Repeat([]byte(`{"id":"vm"},`), 1000)
		back, err := decompress(s2.Encode(nil, list))
		So(err, ShouldBeNil)
		So(bytes.Equal(back, list), ShouldBeTrue)
		_, err = decompress(s2.Encode(nil, make([]byte, release.MaxValueBytes+1)))
		So(err, ShouldNotBeNil)
		_, err = decompress([]byte("not compressed"))
		So(err, ShouldNotBeNil)
	})
}

func FuzzManifestReply(f *testing.F) {
	valid, err := proto.Marshal(&peerpb.ManifestReply{Found: true, Delta: deltaMessage(testDelta())})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Add(valid[:len(valid)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply peerpb.ManifestReply
		if proto.Unmarshal(data, &reply) != nil {
			return
		}
		ev := manifestReceived(distribution.FetchManifest{Fetch: 1}, &reply)
		if ev.Delta != nil && ev.Delta.Validate() != nil {
			t.Fatal("accepted an invalid delta")
		}
	})
}
