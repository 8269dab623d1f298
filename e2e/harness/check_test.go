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

// TestCheckCalls shows that each kind of violation is found.
func TestCheckCalls(t *testing.T) {
	answer := func(id string) []byte {
		data, err := json.Marshal(backend.Response{Service: "programma", RequestID: id, BodySHA256: "d"})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	good := Call{
		ID: "a", Node: "n", Service: "programma", SentSHA256: "d", Start: at(10), End: at(11),
		Status: 200, Verdict: "ran", Body: answer("a"),
	}
	change := func(f func(*Call)) Call {
		c := good
		f(&c)
		return c
	}
	once := []backend.Record{{RequestID: "a"}}
	twice := append(once, once...)
	down := []Fault{{At: at(9), VM: "n", Kind: NodeKilled}, {At: at(12), VM: "n", Kind: NodeReady}}
	back := []Fault{{At: at(7), VM: "n", Kind: NodeKilled}, {At: at(8), VM: "n", Kind: NodeReady}}
	later := []Fault{{At: at(12), VM: "n", Kind: NodeKilled}}
	other := []Fault{{At: at(9), VM: "m", Kind: NodeKilled}}
	broken := change(func(c *Call) { c.Status, c.Verdict, c.Body = 0, "", nil })
	notRun := change(func(c *Call) { c.Status, c.Verdict = 503, "not-run" })
	cases := []struct {
		name   string
		call   Call
		ran    []backend.Record
		faults []Fault
		ok     bool
	}{
		{"whole answer", good, once, nil, true},
		{"answer cut short", change(func(c *Call) { c.Body = c.Body[:9] }), once, nil, false},
		{"answer to another request", change(func(c *Call) { c.Body = answer("b") }), once, nil, false},
		{"ran nowhere", good, nil, nil, false},
		{"ran twice", good, twice, nil, false},
		{"idempotent twice", change(func(c *Call) { c.Idempotent = true }), twice, nil, true},
		{"no verdict", change(func(c *Call) { c.Status, c.Verdict = 502, "" }), nil, nil, false},
		{"not run", notRun, nil, nil, true},
		{"not run, but seen", notRun, once, nil, false},
		{"may have run", change(func(c *Call) { c.Status, c.Verdict = 504, "may-have-run" }), once, nil, true},
		{"broken by a killed node", broken, once, down, true},
		{"broken at a node that is back", broken, once, back, false},
		{"broken before the kill", broken, once, later, false},
		{"broken by another node's kill", broken, once, other, false},
	}
	for _, c := range cases {
		Convey("Call: "+c.name, t, func() {
			sum := Summary{Whole: make(map[string]int)}
			So(sum.check(c.call, c.ran, c.faults) == nil, ShouldEqual, c.ok)
		})
	}
}

func TestCheckHoldings(t *testing.T) {
	Convey("A node that holds an older release than before is found", t, func() {
		hold := func(vm string, sequence uint64) Holding {
			return Holding{VM: vm, Held: release.Version{Sequence: sequence}}
		}
		So(CheckHoldings([]Holding{hold("a", 1), hold("b", 2), hold("a", 0), hold("a", 1), hold("a", 2)}), ShouldBeNil)
		So(CheckHoldings([]Holding{hold("a", 2), hold("a", 0), hold("a", 1)}), ShouldNotBeNil)
	})
}
