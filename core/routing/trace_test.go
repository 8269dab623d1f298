package routing_test

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/routing"
)

// traceStep is one line of a trace: the outcomes of attempts at a server (kind), a sweep with
// the servers that it must eject (ejected), or the servers that the picks must return (usable).
type traceStep struct {
	AtMS         int64     `json:"at_ms"`
	VM           string    `json:"vm"`
	Kind         string    `json:"kind"`
	Times        int       `json:"times"`
	RetryAfterMS int64     `json:"retry_after_ms"`
	Leaving      bool      `json:"leaving"`
	Ejected      *[]string `json:"ejected"`
	Usable       *[]string `json:"usable"`
}

var traceKinds = map[string]routing.OutcomeKind{
	"success": routing.Success, "failure": routing.Failure, "refused": routing.Refused,
	"unreachable": routing.Unreachable, "starting": routing.Starting,
}

func (s traceStep) outcome() routing.Outcome {
	o := routing.Outcome{Kind: traceKinds[s.Kind], RetryAfter: time.Duration(s.RetryAfterMS) * time.Millisecond}
	if s.Leaving {
		o.Load = &routing.Load{Leaving: true}
	}
	return o
}

func readTrace(t *testing.T, file string) []traceStep {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var steps []traceStep
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var s traceStep
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			t.Fatalf("%s: line %d: %v", file, len(steps)+1, err)
		}
		steps = append(steps, s)
	}
	return steps
}

// pickedVMs returns the sorted VMs that p picks in 400 picks.
func pickedVMs(p routing.Picker, now time.Time, table *routing.Table) []string {
	vms := []string{}
	rnd := rand.NewPCG(1, 2)
	for range 400 {
		e := p.Pick(now, rnd, table, nil).Endpoint
		if e != nil && !slices.Contains(vms, e.VM) {
			vms = append(vms, e.VM)
		}
	}
	slices.Sort(vms)
	return vms
}

// Guards against changes in which servers are used or ejected in recorded sequences: a
// restart of a server, and failures of many servers at once.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces in testdata/traces: %v", err)
	}
	Convey("Each policy picks and ejects the servers that the trace expects", t, func() {
		for _, file := range files {
			for _, p := range policies {
				replay(t, file, p)
			}
		}
	})
}

// replay executes the steps of a trace with policy p and checks the expected servers.
func replay(t *testing.T, file string, p routing.Picker) {
	list := servers(4)
	for i := range list {
		list[i].Domain = testLocality.Domain // so that the distance has no effect
	}
	d, table := newDirectory(t, list)
	for _, s := range readTrace(t, file) {
		// An hour after the start the warm-up of all servers has ended.
		now := start.Add(time.Hour + time.Duration(s.AtMS)*time.Millisecond)
		switch {
		case s.Usable != nil:
			SoMsg(file, pickedVMs(p, now, table), ShouldResemble, *s.Usable)
		case s.Ejected != nil:
			vms := []string{}
			for _, ev := range d.Sweep(now) {
				vms = append(vms, ev.Endpoint.VM)
			}
			SoMsg(file, vms, ShouldResemble, *s.Ejected)
		default:
			i := slices.IndexFunc(table.Endpoints, func(e *routing.Endpoint) bool { return e.VM == s.VM })
			for range max(1, s.Times) {
				completeAttempt(table.Endpoints[i], now, s.outcome())
			}
		}
	}
}
