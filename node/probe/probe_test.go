package probe

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"auburnladder.example/core/membership"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
)

// patience bounds how long a test polls for a condition.
const patience = 30 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func sample() Datagram {
	version := release.Version{Sequence: 12, Digest: release.DigestOf([]byte("manifest"))}
	return Datagram{
		Message: membership.Message{
			Kind: membership.Ping, Sequence: 77, From: "programma-1", Target: "inschrijving-2",
			Updates: []membership.Update{
				{VM: "programma-1", State: membership.Alive, Incarnation: 1_780_000_000_000},
				{VM: "documenten-3", State: membership.Leaving, Incarnation: 4},
			},
		},
		Held: Held{Release: version, VMListRevision: 9},
	}
}

func FuzzDecode(f *testing.F) {
	valid, err := Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0x2a, 0x00}, 700))
	f.Add(bytes.Repeat([]byte{0xff}, maxDatagramBytes+1))
	f.Add(append(bytes.Clone(valid), 0x2a, 0x05, 0x0a, 0x01, 'a', 0x10, 0x09))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		if d.Message.From == "" || len(d.Message.Updates) > maxUpdates {
			t.Fatalf("accepted %+v", d)
		}
		again, err := Encode(d)
		if err != nil {
			t.Fatalf("decoded %+v: %v", d, err)
		}
		back, err := Decode(again)
		if err != nil || fmt.Sprint(back) != fmt.Sprint(d) {
			t.Fatalf("decoded %+v, then %+v, %v", d, back, err)
		}
	})
}

func TestDatagramSize(t *testing.T) {
	Convey("A datagram without news is small, and one full of news fits", t, func() {
		d := sample()
		d.Message.Updates = d.Message.Updates[:1]
		quiet, err := Encode(d)
		So(err, ShouldBeNil)
		So(len(quiet), ShouldBeLessThanOrEqualTo, 127) // as the doc of core/membership reckons
		for total := 0; total < membership.DefaultConfig().MaxUpdateBytes; total += 32 {
			u := membership.Update{VM: "sixteen-letters-", State: membership.Suspect, Incarnation: 1 << 61}
			d.Message.Updates = append(d.Message.Updates, u)
		}
		full, err := Encode(d)
		So(err, ShouldBeNil)
		back, err := Decode(full)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, d)
	})
}

// testFleet is a few probers on the loopback network.
type testFleet struct {
	probers []*Prober
	cancels []context.CancelFunc
	tasks   conc.WaitGroup
}

func startFleet(size int, options func(i int) Options) *testFleet {
	f := &testFleet{}
	list := &vmlist.List{Revision: 1}
	for i := range size {
		p, err := Listen(loopback, options(i))
		So(err, ShouldBeNil)
		f.probers = append(f.probers, p)
		list.VMs = append(list.VMs, vmlist.VM{ID: p.opts.VM, Service: "programma", Domain: "a", Peer: p.Addr()})
	}
	for _, p := range f.probers {
		ctx, cancel := context.WithCancel(context.Background())
		f.cancels = append(f.cancels, cancel)
		f.tasks.Go(func() { p.Run(ctx) })
		p.ReplaceList(list)
	}
	return f
}

func (f *testFleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.tasks.Wait()
}

func (f *testFleet) sees(observer int, vm string, state membership.State) bool {
	m, found := f.probers[observer].View().Get(vm)
	return found && m.State == state
}

func eventually(cond func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}

func TestProbers(t *testing.T) {
	Convey("Given three probers on loopback", t, func() {
		config := membership.Convergence()
		config.TickInterval = 10 * time.Millisecond
		config.ProbeInterval = 100 * time.Millisecond
		config.ProbeTimeout = 30 * time.Millisecond
		heard := make(chan string, 1000)
		held := Held{Release: sample().Held.Release, VMListRevision: 3}
		f := startFleet(3, func(i int) Options {
			return Options{
				VM:     fmt.Sprintf("vm-%d", i),
				Config: config,
				Held:   func() Held { return held },
				OnHeard: func(vm string, h Held) {
					select {
					case heard <- fmt.Sprint(vm, h == held):
					default:
					}
				},
				Log: zerolog.Nop(),
			}
		})
		defer f.stop()
		So(eventually(func() bool { return f.probers[0].View().Count(membership.Alive) == 3 }), ShouldBeTrue)

		Convey("each hears what the others hold", func() {
			So(<-heard, ShouldEndWith, "true")
		})
		Convey("a leaving VM is known to the others", func() {
			f.probers[2].SetLeaving(true)
			So(eventually(func() bool {
				return f.sees(0, "vm-2", membership.Leaving) && f.sees(1, "vm-2", membership.Leaving)
			}), ShouldBeTrue)
		})
		Convey("a VM whose node ended is dead to the others", func() {
			f.cancels[1]()
			So(eventually(func() bool {
				return f.sees(0, "vm-1", membership.Dead) && f.sees(2, "vm-1", membership.Dead)
			}), ShouldBeTrue)
			f.probers[1].SetLeaving(true) // returns although nobody listens
		})
		Convey("what is not a datagram is refused", func() {
			before := refusedDatagrams.Value()
			_, err := f.probers[0].conn.WriteToUDPAddrPort([]byte("hello"), f.probers[1].Addr())
			So(err, ShouldBeNil)
			So(eventually(func() bool { return refusedDatagrams.Value() > before }), ShouldBeTrue)
		})
	})
}
