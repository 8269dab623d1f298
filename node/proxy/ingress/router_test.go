package ingress

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// Guards against calls that use an outdated table between a change of the state and the next
// periodic refresh.
func TestTablesFollowTheStateAtOnce(t *testing.T) {
	Convey("The first call after a new release or VM list sees it in the tables", t, func() {
		st := state.New(state.Identity{VM: "a"})
		r := NewRouter(st, settings.Default().Routing, zerolog.Nop())
		So(r.Table("programma"), ShouldBeNil)
		st.Install(testSnapshot(t), time.Unix(1, 0))
		So(r.Table("programma"), ShouldBeNil)
		vm := vmlist.VM{ID: "programma-1", Service: "programma", Peer: netip.MustParseAddrPort("127.0.0.1:1")}
		st.ReplaceVMs(&vmlist.List{Revision: 1, VMs: []vmlist.VM{vm}})
		So(len(r.Table("programma").Endpoints), ShouldEqual, 1)
		st.ReplaceVMs(&vmlist.List{Revision: 2})
		So(r.Table("programma"), ShouldBeNil)
	})
}

// Guards against a data race between a call that updates the tables and the periodic sweep for
// outliers.
func TestTablesChangeDuringASweep(t *testing.T) {
	Convey("A call may update the tables during a sweep for outliers", t, func() {
		st := state.New(state.Identity{VM: "a"})
		st.Install(testSnapshot(t), time.Unix(1, 0))
		r := NewRouter(st, settings.Default().Routing, zerolog.Nop())
		var done atomic.Bool
		var wg conc.WaitGroup
		wg.Go(func() {
			defer done.Store(true)
			for i := range 2000 {
				vm := vmlist.VM{ID: fmt.Sprint("programma-", i), Service: "programma", Peer: netip.MustParseAddrPort("127.0.0.1:1")}
				st.ReplaceVMs(&vmlist.List{Revision: uint64(i + 1), VMs: []vmlist.VM{vm}})
				r.Table("programma")
			}
		})
		for i := int64(0); !done.Load(); i++ {
			r.Refresh(time.Unix(i, 0))
		}
		wg.Wait()
		So(r.Table("programma").Endpoints[0].VM, ShouldEqual, "programma-1999")
	})
}
