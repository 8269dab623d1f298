package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"auburnladder.example/wire/peerpb"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
)

func encode(t testing.TB, m proto.Message) []byte {
	var b bytes.Buffer
	if err := Write(&b, m); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// A truncated stream must not look complete, and a length prefix from a faulty peer must not
// make the reader allocate memory for data that never arrive.
func TestFrames(t *testing.T) {
	call := &peerpb.Call{Id: 7, Body: bytes.Repeat([]byte("x"), 300<<10)}
	Convey("Frames are read back complete and in order", t, func() {
		b := bytes.NewBuffer(append(encode(t, call), encode(t, &peerpb.Call{Id: 8})...))
		var got peerpb.Call
		So(Read(b, &got), ShouldBeNil)
		So(proto.Equal(&got, call), ShouldBeTrue)
		So(Read(b, &got), ShouldBeNil)
		So(got.GetId(), ShouldEqual, 8)
		So(Read(b, &got), ShouldEqual, io.EOF)
	})
	Convey("A truncated frame is reported as an unexpected end", t, func() {
		complete := encode(t, call)
		var got peerpb.Call
		err := Read(bytes.NewReader(complete[:len(complete)-1]), &got)
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
	})
	Convey("A length above the limit is rejected", t, func() {
		var got peerpb.Call
		err := Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}), &got)
		So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
		err = Write(io.Discard, &peerpb.Body{Data: make([]byte, MaxBytes)})
		So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
	})
	Convey("A false length prefix does not cause an allocation of that length", t, func() {
		falseLength := []byte{0x00, 0x1f, 0xff, 0xff}
		bytesPerRun := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				var got peerpb.Call
				_ = Read(bytes.NewReader(falseLength), &got)
			}
		}).AllocedBytesPerOp()
		So(bytesPerRun, ShouldBeLessThan, int64(4*maxPooledBytes))
	})
}

func FuzzRead(f *testing.F) {
	f.Add(encode(f, &peerpb.Request{Kind: &peerpb.Request_Ping{Ping: &peerpb.Ping{Nonce: 1}}}))
	f.Add([]byte{0, 0, 0, 3, 0xff, 0xff, 0xff})
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var req peerpb.Request
		if err := Read(bytes.NewReader(data), &req); err != nil {
			return
		}
		var again peerpb.Request
		if err := Read(bytes.NewReader(encode(t, &req)), &again); err != nil {
			t.Fatal(err)
		}
	})
}
