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

// traceStep is one line of a trace: outcomes of a server, a sweep with the servers
// that it must eject, or a look at the servers that picks must return.
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

// picked returns the servers that many picks of a policy return, in order of name.
func picked(p routing.Picker, now time.Time, table *routing.Table) []string {
	names := []string{}
	rnd := rand.NewPCG(1, 2)
	for range 400 {
		e := p.Pick(now, rnd, table, nil).Endpoint
		if e != nil && !slices.Contains(names, e.VM) {
			names = append(names, e.VM)
		}
	}
	slices.Sort(names)
	return names
}

func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	Convey("Replayed traces end as stated, with each policy", t, func() {
		for _, file := range files {
			for _, p := range policies {
				replay(t, file, p)
			}
		}
	})
}

func replay(t *testing.T, file string, p routing.Picker) {
	list := servers(4)
	for i := range list {
		list[i].Domain = home.Domain // distance plays no part here
	}
	d, table := newDirectory(t, list)
	for _, s := range readTrace(t, file) {
		// The servers have long been warm.
		now := start.Add(time.Hour + time.Duration(s.AtMS)*time.Millisecond)
		switch {
		case s.Usable != nil:
			SoMsg(file, picked(p, now, table), ShouldResemble, *s.Usable)
		case s.Ejected != nil:
			names := []string{}
			for _, ev := range d.Sweep(now) {
				names = append(names, ev.Endpoint.VM)
			}
			SoMsg(file, names, ShouldResemble, *s.Ejected)
		default:
			i := slices.IndexFunc(table.Endpoints, func(e *routing.Endpoint) bool { return e.VM == s.VM })
			for range max(1, s.Times) {
				finish(table.Endpoints[i], now, s.outcome())
			}
		}
	}
}
