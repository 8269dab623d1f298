package yamlcheck

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type inner struct {
	Wait  Duration `yaml:"wait" check:"required"`
	Limit int      `yaml:"limit"`
}

func (i *inner) Validate() []Problem {
	if i.Limit < 0 {
		return []Problem{{Field: "limit", Found: "a negative limit", Expected: "0 or more"}}
	}
	return nil
}

type outer struct {
	Name  string           `yaml:"name" check:"required"`
	Addr  netip.AddrPort   `yaml:"addr" check:"required"`
	Size  Size             `yaml:"size"`
	On    bool             `yaml:"on"`
	Share float64          `yaml:"share"`
	Inner inner            `yaml:"inner"`
	List  []inner          `yaml:"list"`
	Map   map[string]uint8 `yaml:"map"`
}

// Guards against values that are decoded wrongly, and against defaults that are lost when
// the file omits their field.
func TestDecodeSetsValuesAndKeepsDefaults(t *testing.T) {
	Convey("Given a valid file and a target with defaults", t, func() {
		got := outer{Share: 0.5, Size: 7}
		err := Decode("f.yaml", []byte(`
name: a
addr: 127.0.0.1:80
size: 64KiB
on: true
inner: {wait: 250ms, limit: 3}
list:
  - wait: 1m30s
map: {x: 255}
`), &got)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, outer{
			Name: "a", Addr: netip.MustParseAddrPort("127.0.0.1:80"), Size: 64 * KiB, On: true, Share: 0.5,
			Inner: inner{Wait: Duration(250 * time.Millisecond), Limit: 3},
			List:  []inner{{Wait: Duration(90 * time.Second)}},
			Map:   map[string]uint8{"x": 255},
		})
	})
}

// Guards against errors that are omitted, reported at the wrong position, or out of order
// when a file has several of them. The complete text is compared.
func TestDecodeReportsAllErrorsWithTheirPlace(t *testing.T) {
	Convey("Given a file with one error of each kind", t, func() {
		err := Decode("f.yaml", []byte(`name: 12
nmae: b
size: 64
on: "yes"
inner:
  wait: 0
  limit: -1
list:
  - limit: 2
map: {x: 256}
on: true
`), &outer{})
		var errs FieldErrors
		So(errors.As(err, &errs), ShouldBeTrue)
		So(err.Error(), ShouldEqual, `f.yaml:1:1: name: found 12, expected text
f.yaml:1:1: addr: found nothing, expected ip:port
f.yaml:2:1: nmae: found an unknown key, expected "name"
f.yaml:3:1: size: found 64, expected a size with unit B, KiB, MiB or GiB, such as 64KiB
f.yaml:4:1: on: found "yes", expected true or false
f.yaml:6:3: inner.wait: found 0, expected a duration with unit, such as 250ms or 3s
f.yaml:7:3: inner.limit: found a negative limit, expected 0 or more
f.yaml:9:5: list[0].wait: found nothing, expected a duration with unit, such as 250ms or 3s
f.yaml:10:7: map.x: found 256, expected a whole number of 0 or more
f.yaml:11:1: on: found a duplicate key, expected each key once`)
	})
}

// Guards against files without exactly one document, values that are not plain scalars,
// and text that is not YAML: each must be rejected with an error at the right position.
func TestDecodeRefusesWhatIsNotOneMapping(t *testing.T) {
	Convey("Given files that are not a single mapping of plain values", t, func() {
		cases := []struct{ text, want string }{
			{"", "f.yaml:1:1: file: found an empty file, expected a mapping"},
			{"[1]", "f.yaml:1:1: file: found a list, expected a mapping"},
			{"name: a\n---\nname: b", "f.yaml:1:1: file: found several documents, expected one document"},
			{"addr: 127.0.0.1:80\nname: &x a", "f.yaml:2:1: name: found an anchor, alias or tag, expected text"},
			{"addr: 127.0.0.1:80\nname:", "f.yaml:2:1: name: found nothing, expected text"},
		}
		for _, c := range cases {
			err := Decode("f.yaml", []byte(c.text), &outer{})
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldEqual, c.want)
		}
	})
	Convey("Given text that is not YAML", t, func() {
		err := Decode("f.yaml", []byte("name: [a"), &outer{})
		So(err.Error(), ShouldStartWith, "f.yaml:1:")
		So(err.Error(), ShouldContainSubstring, "expected valid YAML")
	})
}
