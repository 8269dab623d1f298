package follow

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"auburnladder.example/core/source"
	"auburnladder.example/wire/frame"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a copy of the stated size that is refused by the node that sends or gets it.
func TestLargestCopy(t *testing.T) {
	noise := func(bytes int) []byte {
		data := make([]byte, bytes)
		for i := range data {
			data[i] = byte(rand.IntN(256))
		}
		return data
	}
	Convey("The largest release and the entries of 2,500 servers fit in a copy and in a message", t, func() {
		changes := []source.Change{{Item: source.Item{Key: "config", Value: noise(source.MaxReleaseBytes), Revision: 1}}}
		for i := range 2500 {
			changes = append(changes, source.Change{Item: source.Item{Key: fmt.Sprintf("servers/i-%08x", i), Value: noise(2 << 10), Revision: 2}})
		}
		data, err := encodeChanges(changes, source.Item{})
		So(err, ShouldBeNil)
		So(len(data), ShouldBeGreaterThan, frame.MaxBytes)
		So(len(data), ShouldBeLessThan, maxMessageBytes)
		got, err := decodeChanges(data, nil)
		So(err, ShouldBeNil)
		So(got, ShouldHaveLength, len(changes))
	})
	Convey("A copy above the limit is refused with its size", t, func() {
		_, err := encodeChanges([]source.Change{{Item: source.Item{Key: "config", Value: make([]byte, maxCopyBytes)}}}, source.Item{})
		var tooLarge *source.TooLargeError
		So(errors.As(err, &tooLarge), ShouldBeTrue)
		So(tooLarge.Max, ShouldEqual, maxCopyBytes)
	})
}
