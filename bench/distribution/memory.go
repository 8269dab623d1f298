package distribution

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	core "auburnladder.example/core/distribution"
	"auburnladder.example/core/membership"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/proxy/ingress"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
)

// RegisterMemory adds the command "memory" to app and its function to commands. It measures
// the heap of one node's state and the time to apply a complete update.
func RegisterMemory(app *kingpin.Application, commands map[string]func() error) {
	c := app.Command("memory", "Heap of one node's state and time to apply a complete update, by the number of VMs.")
	vms := c.Flag("vms", "Number of VMs; repeatable.").Default("300", "1000", "2500").Ints()
	services := c.Flag("services", "Number of services.").Default("360").Int()
	commands[c.FullCommand()] = func() error {
		fmt.Println("| VMs | services | heap of state, MB | VM list applied, ms | release applied, ms |")
		fmt.Println("|---|---|---|---|---|")
		for _, n := range *vms {
			if err := measureMemory(n, *services); err != nil {
				return err
			}
		}
		return nil
	}
}

// heapInUse returns the size of the live heap in bytes, after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func measureMemory(vms, services int) error {
	c, err := newReleaseBuilder(services)
	if err != nil {
		return err
	}
	p, err := c.next()
	if err != nil {
		return err
	}
	data, err := (&vmlist.List{VMs: syntheticVMs(vms, services)}).Encode()
	if err != nil {
		return err
	}
	before := heapInUse()
	n, err := newNodeState(c)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := n.applyList(data); err != nil {
		return err
	}
	listTime := time.Since(began)
	began = time.Now()
	if err := n.applyRelease(c, p); err != nil {
		return err
	}
	releaseTime := time.Since(began)
	used := heapInUse() - before
	fmt.Printf("| %d | %d | %.2f | %.1f | %.1f |\n", vms, services, float64(used)/(1<<20), millis(listTime), millis(releaseTime))
	runtime.KeepAlive(n)
	runtime.KeepAlive(c)
	runtime.KeepAlive(p)
	return nil
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func syntheticVMs(vms, services int) []vmlist.VM {
	list := make([]vmlist.VM, vms)
	for i := range list {
		ip := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		list[i] = vmlist.VM{
			ID: fmt.Sprintf("vm-%04d", i), Service: serviceName(i % services),
			Domain: fmt.Sprintf("domain-%d", i%9), Region: fmt.Sprintf("region-%d", i%3),
			Peer: netip.AddrPortFrom(ip, 7400), Caller: netip.AddrPortFrom(ip, 8080), Admin: netip.AddrPortFrom(ip, 9090),
		}
	}
	return list
}

// nodeState holds all state machines and tables of one node, without its connections.
type nodeState struct {
	state   *state.State
	members *membership.Machine
	machine *core.Machine
	router  *ingress.Router
	now     time.Time
}

func newNodeState(c *releaseBuilder) (*nodeState, error) {
	self := vmlist.VM{ID: "vm-0000", Service: serviceName(0), Domain: "domain-0", Region: "region-0"}
	rng := rand.New(rand.NewPCG(1, 1))
	machine, err := core.New(core.Convergence(), self, c.trust, rng)
	if err != nil {
		return nil, err
	}
	st := state.New(state.Identity{VM: self.ID, Service: self.Service, Domain: self.Domain, Region: self.Region})
	return &nodeState{
		state:   st,
		members: membership.New(membership.Identity{VM: self.ID}, membership.Convergence(), rng),
		machine: machine,
		router:  ingress.NewRouter(st, settings.Default().Routing, zerolog.Nop()),
		now:     time.Now(),
	}, nil
}

// applyList applies a VM list to all parts of the state, as a node does with the platform's
// response.
func (n *nodeState) applyList(data []byte) error {
	list, err := vmlist.Parse(data, 1)
	if err != nil {
		return err
	}
	n.state.ReplaceVMs(list)
	n.members.Step(n.now, membership.ListPublished{List: list})
	for _, a := range n.members.Step(n.now, membership.Tick{}) {
		if publish, ok := a.(membership.Publish); ok {
			n.state.ReplaceView(publish.View)
		}
	}
	n.machine.Step(n.now, core.SourceValue{Key: release.VMListKey, Revision: 1, Found: true, Value: data})
	n.machine.Step(n.now, core.ViewChanged{VMs: n.state.Fleet().Live()})
	return nil
}

// applyRelease passes a release and its chunks to the state machine and activates it.
func (n *nodeState) applyRelease(builder *releaseBuilder, p *builtRelease) error {
	n.machine.Step(n.now, core.SourceValue{Key: release.CurrentKey, Revision: 2, Found: true, Value: p.value})
	for d, chunk := range p.chunks {
		n.machine.Step(n.now, core.SourceValue{Key: release.ChunkKey(d), Revision: 2, Found: true, Value: chunk})
	}
	snap, err := mesh.Build(builder.last, func(d release.Digest) ([]byte, bool) {
		chunk, found := p.chunks[d]
		return chunk, found
	})
	if err != nil {
		return err
	}
	n.state.Install(snap, n.now)
	if n.router.Table(serviceName(0)) == nil {
		return fmt.Errorf("router has no table for service %s", serviceName(0))
	}
	return nil
}
