package follow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/node/command"
	"auburnladder.example/node/state"
	"auburnladder.example/platform"
	"auburnladder.example/wire/peerpb"
	"github.com/rs/zerolog"
)

const configKey = "op/config"

// configOf returns a configuration with routes of 3 services on 40 hosts, in which the prefix of
// one route depends on version.
func configOf(routes, version int) []byte {
	return configWith(routes, version, `,"trafficSplit"`, ",null")
}

// configWith is configOf with a last column and its value in each row.
func configWith(routes, version int, column, value string) []byte {
	rows := make([]string, routes)
	for i := range rows {
		prefix := fmt.Sprintf("/p%x/q%d/", i*7919, i)
		if i == routes/2 {
			prefix = fmt.Sprintf("/changed%d/", version)
		}
		rows[i] = fmt.Sprintf(`["r-%x","host%d.example","%s","safe","1500ms","500ms",%d,"%c",2%s]`, i*104729, i%40, prefix, i%3, 'a'+i%3, value)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":{"columns":["name","host","prefix","kind","timeout","targetLatency","priority","service","maxAttempts"%s],
"rows":[%s]},"services":{"columns":["name","healthPath","maxConns"],"rows":[["a","/h",110],["b","/h",110],["c","/h",90]]},
"limits":{"headerBytes":16384,"bodyBytes":67108864,"header":"3000ms","idle":"15000ms"}}`, version, column, strings.Join(rows, ",\n"))
}

// newPlatformFollower returns an idle follower with the platform's decoder.
func newPlatformFollower() *Follower {
	cmd := &command.Commander{State: state.New(state.Identity{VM: "10.0.0.1"}), Log: zerolog.Nop(), Now: time.Now}
	return New(DefaultConfig(), newFakeStore(), &platform.Decoder{PeerPort: 7000, Grace: time.Second}, noPeers{}, cmd, bootClock(), zerolog.Nop())
}

// write puts a configuration into the copy of a follower, as a watch of the store does.
func write(f *Follower, revision uint64, value []byte) {
	item := source.Item{Key: configKey, Value: value, Revision: revision}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.Position().Revision == 0 {
		f.replica.Replace(time.Now(), []source.Item{item}, source.Position{Revision: revision})
	} else {
		f.replica.Apply(time.Now(), source.Changes{Changes: []source.Change{{Item: item}}, Revision: revision})
	}
	f.renewLocked()
}

// copiesOf returns copies with one version each, as a parent sends them.
func copiesOf(tb testing.TB, count int, config func(version int) []byte) []*peerpb.SourceCopy {
	parent := newPlatformFollower()
	copies := make([]*peerpb.SourceCopy, count)
	for i := range copies {
		at := source.Position{Revision: uint64(i)}
		write(parent, at.Revision+1, config(i+1))
		c, _, err := parent.copySince(at)
		if err != nil {
			tb.Fatal(err)
		}
		copies[i] = c
	}
	return copies
}

// BenchmarkTakeChangedRoute measures what a node does for one changed route of many that its
// parent sends: taking the patch, passing it on, and applying the release.
func BenchmarkTakeChangedRoute(b *testing.B) {
	for _, routes := range []int{100, 1400, 2800} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			const count = 64
			copies := copiesOf(b, count, func(version int) []byte { return configOf(routes, version) })
			node := newPlatformFollower()
			delays := new(messageDelays)
			take := func(c *peerpb.SourceCopy) {
				held := node.position()
				if err := node.applyCopy(c, delays); err != nil {
					b.Fatal(err)
				}
				if _, _, err := node.copySince(held); err != nil {
					b.Fatal(err)
				}
				node.buildNewest()
			}
			take(copies[0])
			b.ReportAllocs()
			b.ReportMetric(float64(len(copies[1].GetItems())), "patch-B")
			for i := 0; b.Loop(); i++ {
				if i%(count-1) == 0 && i > 0 {
					b.StopTimer()
					node = newPlatformFollower()
					take(copies[0])
					b.StartTimer()
				}
				take(copies[1+i%(count-1)])
			}
		})
	}
}

// storeValueBytes is the largest value of the store.
const storeValueBytes = 1 << 20

// largestValue returns a configuration of storeValueBytes in which a number of routes is changed.
func largestValue(changed int) []byte {
	var rows strings.Builder
	for i := 0; rows.Len() < storeValueBytes; i++ {
		name := fmt.Sprintf("r-%07x", i*7919)
		if i < changed {
			name = "changed"
		}
		fmt.Fprintf(&rows, `["%s","jepu%d.example","/lepu%x/","safe","1000ms","250ms",2,"a",2,null],`, name, i%40, i*104729)
	}
	return []byte(rows.String()[:storeValueBytes])
}

// BenchmarkCopyOfLargest measures what a node sends of a configuration of the largest value: the
// whole, and patches of it.
func BenchmarkCopyOfLargest(b *testing.B) {
	old := source.Item{Key: configKey, Value: largestValue(0), Revision: 1}
	held := func(string, source.Position) ([]byte, bool) { return old.Value, true }
	for _, changed := range []int{0, 1, 480} {
		base := old
		if changed == 0 {
			base = source.Item{}
		}
		changes := []source.Change{{Item: source.Item{Key: configKey, Value: largestValue(changed), Revision: 2}}}
		b.Run(fmt.Sprintf("changed_routes=%d", changed), func(b *testing.B) {
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				data, err := encodeChanges(changes, base)
				if err != nil {
					b.Fatal(err)
				}
				sent = len(data)
				if _, err := decodeChanges(data, held); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent), "sent-B")
		})
	}
}
