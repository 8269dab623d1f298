package harness

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/release"
	"auburnladder.example/standin/backend"
)

func at(second int) time.Time {
	return time.Unix(int64(second), 0)
}

// Guards against a check that misses a violation, or that reports a call as one that
// failed only because its node was down.
func TestCheckCalls(t *testing.T) {
	response := func(id string) []byte {
		data, err := json.Marshal(backend.Response{Service: "programma", RequestID: id, BodySHA256: "d"})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	good := Call{
		ID: "a", Node: "n", Service: "programma", SentSHA256: "d", Start: at(10), End: at(11),
		Status: 200, Verdict: "ran", Body: response("a"),
	}
	change := func(f func(*Call)) Call {
		c := good
		f(&c)
		return c
	}
	once := []backend.Record{{RequestID: "a"}}
	twice := append(once, once...)
	down := []Fault{{At: at(9), VM: "n", Kind: NodeKilled}, {At: at(12), VM: "n", Kind: NodeReady}}
	recovered := []Fault{{At: at(7), VM: "n", Kind: NodeKilled}, {At: at(8), VM: "n", Kind: NodeReady}}
	later := []Fault{{At: at(12), VM: "n", Kind: NodeKilled}}
	other := []Fault{{At: at(9), VM: "m", Kind: NodeKilled}}
	noResponse := change(func(c *Call) { c.Status, c.Verdict, c.Body = 0, "", nil })
	notRun := change(func(c *Call) { c.Status, c.Verdict = 503, "not-run" })
	cases := []struct {
		name     string
		call     Call
		received []backend.Record
		faults   []Fault
		ok       bool
	}{
		{"complete response", good, once, nil, true},
		{"truncated response", change(func(c *Call) { c.Body = c.Body[:9] }), once, nil, false},
		{"mismatched response", change(func(c *Call) { c.Body = response("b") }), once, nil, false},
		{"verdict ran, but no server reached", good, nil, nil, false},
		{"not idempotent, reached servers twice", good, twice, nil, false},
		{"idempotent, reached servers twice", change(func(c *Call) { c.Idempotent = true }), twice, nil, true},
		{"no verdict", change(func(c *Call) { c.Status, c.Verdict = 502, "" }), nil, nil, false},
		{"not run", notRun, nil, nil, true},
		{"not run, but reached a server", notRun, once, nil, false},
		{"may have run", change(func(c *Call) { c.Status, c.Verdict = 504, "may-have-run" }), once, nil, true},
		{"no response from a killed node", noResponse, once, down, true},
		{"no response from a node that is ready again", noResponse, once, recovered, false},
		{"no response before the node was killed", noResponse, once, later, false},
		{"no response while another node was down", noResponse, once, other, false},
	}
	for _, c := range cases {
		Convey("Call: "+c.name, t, func() {
			sum := Summary{Complete: make(map[string]int)}
			So(sum.checkCall(c.call, c.received, c.faults) == nil, ShouldEqual, c.ok)
		})
	}
}

// Guards against a check that misses a node's return to an older release, or that reports
// a restarted node that holds no release yet.
func TestCheckHoldings(t *testing.T) {
	Convey("A node that holds an older release than before is reported", t, func() {
		hold := func(vm string, sequence uint64) HeldVersion {
			return HeldVersion{VM: vm, Held: release.Version{Sequence: sequence}}
		}
		So(CheckHeldVersions([]HeldVersion{hold("a", 1), hold("b", 2), hold("a", 0), hold("a", 1), hold("a", 2)}), ShouldBeNil)
		So(CheckHeldVersions([]HeldVersion{hold("a", 2), hold("a", 0), hold("a", 1)}), ShouldNotBeNil)
	})
}
