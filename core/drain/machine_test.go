package drain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/mesh"
)

var (
	epoch    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	contract = mesh.Stop{Method: mesh.StopHTTP, Path: "/stop", Grace: 5000}
)

// traceLine is one recorded event with the expected actions and state.
type traceLine struct {
	AtMs   int64    `json:"at_ms"`
	Event  string   `json:"event"`
	Reason Reason   `json:"reason"`
	Count  int      `json:"count"`
	Want   []string `json:"want"`
	State  State    `json:"state"`
}

func (l traceLine) decode() Event {
	switch l.Event {
	case "signal":
		return Signal{Reason: l.Reason}
	case "withdraw":
		return Withdraw{Reason: l.Reason}
	case "in_flight":
		return InFlight{Count: l.Count}
	case "stop_ended":
		return StopEnded{}
	case "tick":
		return Tick{}
	default:
		panic("trace: unknown event " + l.Event)
	}
}

// describe formats actions as in the recorded traces.
func describe(actions []Action) []string {
	out := []string{}
	for _, a := range actions {
		switch a := a.(type) {
		case Refuse:
			out = append(out, "refuse "+string(a.Reason))
		case Announce:
			out = append(out, fmt.Sprint("announce ", a.Leaving))
		case Accept:
			out = append(out, "accept")
		case GraceOver:
			out = append(out, fmt.Sprint("grace_over ", a.InFlight))
		case StopServer:
			out = append(out, "stop "+a.Stop.Path)
		case Exit:
			out = append(out, fmt.Sprint("exit ", a.Aborted))
		}
	}
	return out
}

// TestTraces guards against changes of the drain sequence: each recorded event must give
// the expected actions and state.
func TestTraces(t *testing.T) {
	files, _ := filepath.Glob("testdata/traces/*.jsonl")
	Convey("Every recorded trace gives the expected actions and states", t, func() {
		So(len(files), ShouldBeGreaterThanOrEqualTo, 5)
		for _, file := range files {
			Convey(filepath.Base(file), func() {
				replay(file)
			})
		}
	})
}

func replay(file string) {
	f, err := os.Open(file)
	So(err, ShouldBeNil)
	defer f.Close()
	m := New(DefaultConfig(), contract)
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		var l traceLine
		So(json.Unmarshal(lines.Bytes(), &l), ShouldBeNil)
		got := describe(m.Step(epoch.Add(time.Duration(l.AtMs)*time.Millisecond), l.decode()))
		So(fmt.Sprintf("line %d: %v %s", n, got, m.State()), ShouldEqual, fmt.Sprintf("line %d: %v %s", n, l.Want, l.State))
	}
}

// observer tracks the state that a driver of the machine has, and checks the actions.
type observer struct {
	accepting bool
	stopped   bool
	exited    bool
	inFlight  int
	signalled time.Time
}

func (o *observer) observe(t *rapid.T, now time.Time, actions []Action) {
	for _, a := range actions {
		if o.exited {
			t.Fatalf("action %T after the exit", a)
		}
		switch a := a.(type) {
		case Refuse:
			o.accepting = false
		case Accept:
			if o.stopped {
				t.Fatal("new work accepted after the server was requested to stop")
			}
			o.accepting = true
		case StopServer:
			if o.stopped {
				t.Fatal("server requested to stop twice")
			}
			o.checkStop(t, now)
			o.stopped = true
		case Exit:
			o.exited = true
			if a.Aborted != o.inFlight {
				t.Fatalf("exit reports %d aborted requests, %d are in flight", a.Aborted, o.inFlight)
			}
		}
	}
}

func (o *observer) checkStop(t *rapid.T, now time.Time) {
	if o.accepting {
		t.Fatal("server requested to stop while new work is accepted")
	}
	if o.inFlight > 0 && now.Sub(o.signalled) < contract.Grace.Duration() {
		t.Fatalf("server stopped %v after the signal with %d in flight", now.Sub(o.signalled), o.inFlight)
	}
}

// TestDrainProperties guards against a server that is stopped while it gets work, requests
// that are aborted within the grace period, and drains that start, stay or end contrary to
// the active signals.
func TestDrainProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := New(DefaultConfig(), contract), epoch
		o := &observer{accepting: true}
		active := map[Reason]bool{}
		step := func(ev Event) {
			before := o.accepting
			o.observe(t, now, m.Step(now, ev))
			if before && !o.accepting {
				o.signalled = now
			}
			if len(active) > 0 && o.accepting {
				t.Fatalf("new work accepted although signals %v are active", active)
			}
			if len(active) == 0 && !o.accepting && !o.stopped && !o.exited {
				t.Fatal("new work refused although no signal is active")
			}
		}
		reasons := rapid.SampledFrom([]Reason{ReasonTerminate, ReasonRestart, ReasonListed, ReasonServer})
		t.Repeat(map[string]func(*rapid.T){
			"signal": func(t *rapid.T) {
				r := reasons.Draw(t, "reason")
				active[r] = true
				step(Signal{r})
			},
			"withdraw": func(t *rapid.T) {
				r := reasons.Draw(t, "reason")
				if r.withdrawable() {
					delete(active, r)
				}
				step(Withdraw{r})
			},
			"in_flight": func(t *rapid.T) {
				maxInFlight := o.inFlight
				if o.accepting {
					maxInFlight = 5
				}
				o.inFlight = rapid.IntRange(0, maxInFlight).Draw(t, "count")
				step(InFlight{o.inFlight})
			},
			"admitted_unseen": func(*rapid.T) {
				if o.accepting {
					o.inFlight++
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				step(Tick{})
			},
			"stop_ended": func(*rapid.T) {
				if o.stopped {
					step(StopEnded{})
				}
			},
		})
		active[ReasonTerminate] = true
		step(Signal{ReasonTerminate})
		step(InFlight{o.inFlight})
		for range 3 {
			if wake := m.Wake(); !wake.IsZero() {
				now = wake
				step(Tick{})
			}
		}
		if !o.exited {
			t.Fatalf("no exit at the stop deadline: state %s", m.State())
		}
	})
}
