package proxy

import (
	"net/netip"
	"testing"
	"time"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/settings"
	"auburnladder.example/node/state"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

func TestTablesFollowTheStateAtOnce(t *testing.T) {
	Convey("A release and a VM list are in the tables of the first call after them", t, func() {
		st := state.New(state.Identity{VM: "a"})
		r := NewRouter(st, settings.PolicyP2C, zerolog.Nop())
		So(r.Table("shop"), ShouldBeNil)
		st.Install(egressSnapshot(), time.Unix(1, 0))
		So(r.Table("shop"), ShouldBeNil)
		vm := vmlist.VM{ID: "shop-1", Service: "shop", Peer: netip.MustParseAddrPort("127.0.0.1:1")}
		st.ReplaceVMs(&vmlist.List{Revision: 1, VMs: []vmlist.VM{vm}})
		So(len(r.Table("shop").Endpoints), ShouldEqual, 1)
		st.ReplaceVMs(&vmlist.List{Revision: 2})
		So(r.Table("shop"), ShouldBeNil)
	})
}
