package distribution

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

var record = flag.Bool("record", false, "overwrite the traces in testdata/traces with new recordings")

// timedEvent is an event of a trace with its time since epoch.
type timedEvent struct {
	At    time.Duration
	Event Event
}

// header is the first line of a trace file: the node and the expected outcome.
type header struct {
	Self    vmlist.VM         `json:"self"`
	Seed    uint64            `json:"seed"`
	Applied []release.Version `json:"applied"`
	Reports []ReportKind      `json:"reports"`
	Phases  []string          `json:"phases"`
}

// line is one event in a trace file. Kind is the type name of the event.
type line struct {
	AtUS  int64           `json:"at_us"`
	Kind  string          `json:"kind"`
	Event json.RawMessage `json:"event"`
}

// eventTypes maps the event kinds in trace files to types.
var eventTypes = func() map[string]reflect.Type {
	types := make(map[string]reflect.Type)
	for _, ev := range []Event{
		Tick{},
		ViewChanged{},
		PeerUp{},
		PeerDown{},
		PeerUnreachable{},
		PeerVersions{},
		ManifestReceived{},
		ChunksReceived{},
		VMListReceived{},
		FetchFailed{},
		SourceValue{},
		SourceFailed{},
	} {
		types[reflect.TypeOf(ev).Name()] = reflect.TypeOf(ev)
	}
	return types
}()

func writeTrace(path string, h header, trace []timedEvent) error {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	if err := enc.Encode(h); err != nil {
		return err
	}
	for _, ev := range trace {
		raw, err := json.Marshal(ev.Event)
		if err != nil {
			return err
		}
		if err := enc.Encode(line{AtUS: ev.At.Microseconds(), Kind: reflect.TypeOf(ev.Event).Name(), Event: raw}); err != nil {
			return err
		}
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

func readTrace(path string) (h header, trace []timedEvent, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return h, nil, err
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, 2*release.MaxValueBytes)
	lines.Scan()
	if err := json.Unmarshal(lines.Bytes(), &h); err != nil {
		return h, nil, err
	}
	for lines.Scan() {
		var l line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return h, nil, err
		}
		kind, known := eventTypes[l.Kind]
		if !known {
			return h, nil, fmt.Errorf("unknown event kind %q", l.Kind)
		}
		ev := reflect.New(kind)
		if err := json.Unmarshal(l.Event, ev.Interface()); err != nil {
			return h, nil, err
		}
		trace = append(trace, timedEvent{At: time.Duration(l.AtUS) * time.Microsecond, Event: ev.Elem().Interface().(Event)})
	}
	return h, trace, lines.Err()
}

// replay feeds a trace to a new machine and returns the outcome.
func replay(t testing.TB, self vmlist.VM, seed uint64, trace []timedEvent) header {
	m := newMachine(t, newFixture(), testConfig(), self, seed)
	h := header{Self: self, Seed: seed}
	for _, ev := range trace {
		// Trace files have a resolution of one microsecond.
		at := ev.At.Truncate(time.Microsecond)
		for _, a := range m.Step(epoch.Add(at), ev.Event) {
			switch a := a.(type) {
			case Apply:
				h.Applied = append(h.Applied, a.Snapshot.Version)
			case Report:
				h.Reports = append(h.Reports, a.Kind)
			case SetPhase:
				h.Phases = append(h.Phases, a.Phase.String())
			}
		}
	}
	return h
}

// recordings are the scenarios whose traces are recorded. Each returns the node to
// record.
var recordings = []struct {
	name string
	run  func(t *testing.T) *node
}{
	{"stale-source-restart", func(t *testing.T) *node {
		n, old := newConvergedNetwork(t, 11)
		b := n.fixture.build(13, old.version.Digest, 13)
		n.publish(b)
		n.Advance(time.Second)
		n.setSourceValue(old.value)
		x := n.nodes[Readers(n.vms, "d1", 1)[0]]
		n.kill(x.vm.ID)
		n.start(x.vm.ID)
		n.Advance(8 * time.Second)
		return x
	}},
	{"paused-reader", func(t *testing.T) *node {
		n, old := newConvergedNetwork(t, 12)
		x := n.nodes[Readers(n.vms, "d2", 1)[0]]
		n.Advance(time.Second)
		n.pause(x.vm.ID)
		b := n.fixture.build(13, old.version.Digest, 13)
		n.publish(b)
		n.Advance(60 * time.Second)
		n.resume(x.vm.ID)
		n.Advance(5 * time.Second)
		return x
	}},
	{"cut-twice-with-conflict", func(t *testing.T) *node {
		n, old := newConvergedNetwork(t, 13)
		a, b := n.fixture.build(13, old.version.Digest, 1), n.fixture.build(13, old.version.Digest, 2)
		if b.version.Newer(a.version) {
			a, b = b, a
		}
		x := n.nodes[n.vms[0].ID]
		for _, r := range []*testRelease{b, a} {
			n.setPartitioned("d0", true)
			n.publish(r)
			n.Advance(2 * time.Second)
			n.setPartitioned("d0", false)
			n.Advance(2 * time.Second)
		}
		return x
	}},
	{"forged-dangling-incomplete-withdrawn", func(t *testing.T) *node {
		n, old := newConvergedNetwork(t, 14)
		x := n.nodes[Readers(n.vms, "d3", 1)[0]]
		n.setSourceValue(encode(n.fixture.build(13, old.version.Digest, 1).withInvalidSignature()))
		n.Advance(time.Second)
		b := n.fixture.buildDangling(14, 1)
		n.source.chunks[b.manifest().Chunks[0].Digest] = b.allChunks()[0]
		n.setSourceValue(b.value)
		n.Advance(time.Second)
		b = n.fixture.build(15, old.version.Digest, 15)
		n.releases[b.version] = b
		n.setSourceValue(b.value)
		n.Advance(2 * time.Second)
		n.publish(b)
		n.Advance(15 * time.Second)
		n.setSourceValue(nil)
		n.Advance(time.Second)
		return x
	}},
}

// Replays recorded event sequences. A change of the state machine that alters the applied
// releases, reports or phases of a recorded scenario fails the test. The flag -record
// records the scenarios again.
func TestReplay(t *testing.T) {
	if *record {
		for _, r := range recordings {
			Convey("record "+r.name, t, func() {
				x := r.run(t)
				h := replay(t, x.vm, x.seed, x.trace)
				So(writeTrace(filepath.Join("testdata", "traces", r.name+".jsonl"), h, x.trace), ShouldBeNil)
			})
		}
	}
	Convey("Recorded traces lead to the recorded outcomes", t, func() {
		paths, err := filepath.Glob(filepath.Join("testdata", "traces", "*.jsonl"))
		So(err, ShouldBeNil)
		So(len(paths), ShouldBeGreaterThanOrEqualTo, len(recordings))
		for _, path := range paths {
			Convey(filepath.Base(path), func() {
				want, trace, err := readTrace(path)
				So(err, ShouldBeNil)
				got := replay(t, want.Self, want.Seed, trace)
				So(got, ShouldResemble, want)
				for i := 1; i < len(got.Applied); i++ {
					So(got.Applied[i].Newer(got.Applied[i-1]), ShouldBeTrue)
				}
			})
		}
	})
}
