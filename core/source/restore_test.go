package source

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"auburnladder.example/core/vmlist"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// report returns an entry of the server at VM a, with the report's number.
func report(sequence uint64, leaving bool) []byte {
	data, err := json.Marshal(ServerEntry{VM: vmlist.VM{ID: "a", StartedAtMs: 1, Leaving: leaving}, Sequence: sequence})
	if err != nil {
		panic(err)
	}
	return data
}

// newReplicaAt returns a replica of the first era with the given items.
func newReplicaAt(revision uint64, items ...Item) *Replica {
	r := NewReplica(DefaultConfig(), textDecoder{})
	for i := range items {
		items[i].Era = 1
	}
	r.Replace(start, items, Position{Era: 1, Revision: revision})
	return r
}

// Guards against state that goes back, and servers that are dropped, when the store is restored.
func TestOlderCopyOfTheStore(t *testing.T) {
	era2 := func(revision uint64) Position { return Position{Era: 2, Revision: revision} }
	config := func(era, revision uint64, value string) Item {
		return Item{Key: "config", Value: []byte(value), Era: era, Revision: revision}
	}
	server := func(era, revision uint64, value []byte) Item {
		return Item{Key: "s1", Value: value, Era: era, Revision: revision}
	}
	release := func(r *Replica) string {
		item, _ := r.Release()
		return string(item.Value)
	}
	Convey("A newer configuration is kept until the store has one that is as new", t, func() {
		for _, copied := range [][]Item{{config(2, 3, "5")}, nil} {
			r := newReplicaAt(9, config(1, 8, "7"))
			So(r.Replace(start, copied, era2(3)), ShouldBeTrue)
			So(release(r), ShouldEqual, "7")
			So(r.Apply(start, Changes{Changes: []Change{{Item: config(2, 4, "6")}}, Era: 2, Revision: 4}), ShouldBeTrue)
			So(release(r), ShouldEqual, "7")
			r.Apply(start, Changes{Changes: []Change{{Item: config(2, 8, "9")}}, Era: 2, Revision: 8})
			So(release(r), ShouldEqual, "9")
		}
	})
	Convey("Another node that starts gets the newer configuration, too, whatever it read before", t, func() {
		r := newReplicaAt(9, config(1, 8, "7"))
		r.Replace(start, []Item{config(2, 3, "5")}, era2(3))
		other := NewReplica(DefaultConfig(), textDecoder{})
		other.Replace(start, []Item{config(2, 3, "5")}, era2(3))
		other.Replace(start, r.Items(), r.Position())
		So(release(other), ShouldEqual, "7")
	})
	Convey("Changes of another era are not applied", t, func() {
		r := newReplicaAt(9, config(1, 8, "7"))
		So(r.Apply(start, Changes{Changes: []Change{{Item: config(2, 10, "8")}}, Era: 2, Revision: 10}), ShouldBeFalse)
		So(r.Position(), ShouldResemble, Position{Era: 1, Revision: 9})
		So(r.Replace(start, nil, era2(1)), ShouldBeTrue)
		So(r.Replace(start, nil, Position{Era: 1, Revision: 20}), ShouldBeFalse)
	})
	Convey("A server that is leaving is not ready again", t, func() {
		r := newReplicaAt(9, server(1, 8, report(6, true)))
		r.Replace(start, []Item{server(2, 3, report(4, false))}, era2(3))
		So(r.VMs()[0].Leaving, ShouldBeTrue)
	})
	Convey("A server that is missing in the copy stays for the grace period", t, func() {
		r := newReplicaAt(9, server(1, 8, report(6, false)))
		r.Replace(start, nil, era2(3))
		So(ids(r.VMs()), ShouldResemble, []string{"a"})
		r.Expire(start.Add(DefaultConfig().ReturnGrace))
		So(r.VMs(), ShouldBeEmpty)
	})
	Convey("Given a server that was removed and is there again in the copy", t, func() {
		r := newReplicaAt(9, server(1, 5, report(6, false)))
		r.Apply(start, Changes{Changes: []Change{{Item: Item{Key: "s1", Revision: 10}, Removed: true}}, Era: 1, Revision: 10})
		r.Replace(start, []Item{server(2, 5, report(6, false))}, era2(7))
		So(r.VMs(), ShouldBeEmpty)
		Convey("It is not used before the store would have dropped its entry", func() {
			r.Expire(start.Add(DefaultConfig().WithholdFor - time.Millisecond))
			So(r.VMs(), ShouldBeEmpty)
			changes := r.ListChanges()
			r.Expire(start.Add(DefaultConfig().WithholdFor))
			So(ids(r.VMs()), ShouldResemble, []string{"a"})
			So(r.ListChanges(), ShouldBeGreaterThan, changes)
		})
		Convey("It is used as soon as it writes its entry again", func() {
			r.Apply(start, Changes{Changes: []Change{{Item: server(2, 8, report(7, false))}}, Era: 2, Revision: 8})
			So(ids(r.VMs()), ShouldResemble, []string{"a"})
		})
		Convey("It does not return once its entry is removed", func() {
			r.Apply(start, Changes{Changes: []Change{{Item: Item{Key: "s1", Revision: 8}, Removed: true}}, Era: 2, Revision: 8})
			r.Expire(start.Add(time.Minute))
			So(r.VMs(), ShouldBeEmpty)
		})
	})
}

// storeModel is a store that can go back to an older copy of itself.
type storeModel struct {
	at      Position
	items   map[string]Item
	history []Change
}

func (s *storeModel) put(key, value string) {
	s.at.Revision++
	item := Item{Key: key, Value: []byte(value), Revision: s.at.Revision, Era: s.at.Era}
	s.items[key] = item
	s.history = append(s.history, Change{Item: item})
}

func (s *storeModel) clone() *storeModel {
	return &storeModel{at: s.at, items: maps.Clone(s.items), history: append([]Change(nil), s.history...)}
}

// list returns all items as the store sends them, in its present era.
func (s *storeModel) list() []Item {
	var items []Item
	for _, item := range s.items {
		item.Era = s.at.Era
		items = append(items, item)
	}
	return items
}

func (s *storeModel) since(revision uint64) Changes {
	c := Changes{Era: s.at.Era, Revision: s.at.Revision}
	for _, ch := range s.history {
		if ch.Revision > revision {
			ch.Era = s.at.Era
			c.Changes = append(c.Changes, ch)
		}
	}
	return c
}

// Guards against a configuration that goes back or is missed while nodes read a restored store.
func TestRestoresInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{at: Position{Era: 1, Revision: 1}, items: make(map[string]Item)}
		copies := []*storeModel{store.clone()}
		nodes := make([]*Replica, 3)
		for i := range nodes {
			nodes[i] = NewReplica(DefaultConfig(), textDecoder{})
		}
		highest, held := 0, make([]int, len(nodes))
		check := func() {
			for i, r := range nodes {
				item, _ := r.Release()
				var sequence int
				_, _ = fmt.Sscan(string(item.Value), &sequence)
				if sequence < held[i] {
					t.Fatalf("node %d went back from configuration %d to %d", i, held[i], sequence)
				}
				held[i] = sequence
			}
		}
		read := func(r *Replica) {
			if at := r.Position(); at.Revision > 0 && at.Era == store.at.Era {
				r.Apply(start, store.since(at.Revision))
				return
			}
			r.Replace(start, store.list(), store.at)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				highest++
				store.put("config", fmt.Sprint(highest))
			case 2:
				copies = append(copies, store.clone())
			case 3:
				era := store.at.Era + 1
				store = rapid.SampledFrom(copies).Draw(t, "copy").clone()
				store.at.Era = era
			case 4:
				read(r)
			case 5:
				peer := nodes[rapid.IntRange(0, 2).Draw(t, "peer")]
				r.Replace(start, peer.Items(), peer.Position())
			}
			check()
		}
		store.put("config", fmt.Sprint(highest+1))
		for i, r := range nodes {
			read(r)
			check()
			if held[i] != highest+1 {
				t.Fatalf("node %d holds configuration %d after it read %d", i, held[i], highest+1)
			}
		}
	})
}
