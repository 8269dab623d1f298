package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/verdict"
)

// TestVerdict guards against a lost or misread verdict, which could allow a retry of a
// request that has already run.
func TestVerdict(t *testing.T) {
	all := []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}
	Convey("Parse returns each verdict that String writes", t, func() {
		for _, v := range all {
			got, err := verdict.Parse(v.String())
			So(err, ShouldBeNil)
			So(got, ShouldEqual, v)
		}
	})
	Convey("An invalid text gives an error and MayHaveRun", t, func() {
		for _, text := range []string{"", "Not-Run", "not-run ", "unknown"} {
			got, err := verdict.Parse(text)
			So(err, ShouldNotBeNil)
			So(got, ShouldEqual, verdict.MayHaveRun)
		}
		So(verdict.Verdict(200).String(), ShouldEqual, verdict.MayHaveRun.String())
	})
	Convey("A wrapped or joined error keeps its verdict and its cause", t, func() {
		cause := errors.New("cause")
		for _, v := range all {
			err := fmt.Errorf("outer: %w", errors.Join(errors.New("other"), verdict.Wrap(v, cause)))
			So(verdict.Of(err), ShouldEqual, v)
			So(errors.Is(err, cause), ShouldBeTrue)
		}
	})
	Convey("An error without a verdict gives MayHaveRun, and Wrap of nil returns nil", t, func() {
		So(verdict.Of(errors.New("plain")), ShouldEqual, verdict.MayHaveRun)
		So(verdict.Wrap(verdict.NotRun, nil), ShouldBeNil)
	})
	Convey("The outermost verdict takes precedence", t, func() {
		inner := verdict.Wrap(verdict.NotRun, errors.New("refused"))
		So(verdict.Of(verdict.Wrap(verdict.MayHaveRun, inner)), ShouldEqual, verdict.MayHaveRun)
	})
}
