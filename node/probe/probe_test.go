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

// waitTimeout bounds how long a test polls for a condition.
const waitTimeout = 30 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func sampleDatagram() Datagram {
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
	valid, err := Encode(sampleDatagram())
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
		encoded, err := Encode(d)
		if err != nil {
			t.Fatalf("decoded %+v: %v", d, err)
		}
		decoded, err := Decode(encoded)
		if err != nil || fmt.Sprint(decoded) != fmt.Sprint(d) {
			t.Fatalf("decoded %+v, then %+v, %v", d, decoded, err)
		}
	})
}

// A datagram must stay below the size at which IP fragments it, and an idle one must cost no
// more than the documented bytes.
func TestDatagramSize(t *testing.T) {
	Convey("A datagram with one update is small, and one with the most updates is within the limit", t, func() {
		d := sampleDatagram()
		d.Message.Updates = d.Message.Updates[:1]
		small, err := Encode(d)
		So(err, ShouldBeNil)
		So(len(small), ShouldBeLessThanOrEqualTo, 127) // the size stated in the doc comment of core/membership
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

// testFleet is a set of probers on the loopback network.
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

func (f *testFleet) observes(observer int, vm string, state membership.State) bool {
	m, found := f.probers[observer].View().Get(vm)
	return found && m.State == state
}

func eventually(cond func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}

// Members must detect leaving and dead VMs and receive each other's versions, and invalid
// datagrams must be dropped.
func TestProbers(t *testing.T) {
	Convey("Given three probers on loopback", t, func() {
		config := membership.Convergence()
		config.TickInterval = 10 * time.Millisecond
		config.ProbeInterval = 100 * time.Millisecond
		config.ProbeTimeout = 30 * time.Millisecond
		received := make(chan string, 1000)
		held := Held{Release: sampleDatagram().Held.Release, VMListRevision: 3}
		f := startFleet(3, func(i int) Options {
			return Options{
				VM:     fmt.Sprintf("vm-%d", i),
				Config: config,
				Held:   func() Held { return held },
				OnPeerHeld: func(vm string, h Held) {
					select {
					case received <- fmt.Sprint(vm, h == held):
					default:
					}
				},
				Log: zerolog.Nop(),
			}
		})
		defer f.stop()
		So(eventually(func() bool { return f.probers[0].View().Count(membership.Alive) == 3 }), ShouldBeTrue)

		Convey("each receives the versions that the others hold", func() {
			So(<-received, ShouldEndWith, "true")
		})
		Convey("a leaving VM is reported to the others", func() {
			f.probers[2].SetLeaving(true)
			So(eventually(func() bool {
				return f.observes(0, "vm-2", membership.Leaving) && f.observes(1, "vm-2", membership.Leaving)
			}), ShouldBeTrue)
		})
		Convey("a VM whose node has ended is detected as dead by the others", func() {
			f.cancels[1]()
			So(eventually(func() bool {
				return f.observes(0, "vm-1", membership.Dead) && f.observes(2, "vm-1", membership.Dead)
			}), ShouldBeTrue)
			f.probers[1].SetLeaving(true) // must not block after the prober has ended
		})
		Convey("an invalid datagram is dropped", func() {
			before := refusedDatagrams.Value()
			_, err := f.probers[0].conn.WriteToUDPAddrPort([]byte("hello"), f.probers[1].Addr())
			So(err, ShouldBeNil)
			So(eventually(func() bool { return refusedDatagrams.Value() > before }), ShouldBeTrue)
		})
	})
}
