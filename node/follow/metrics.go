package follow

import (
	"expvar"
	"math"
	"runtime/metrics"
	"syscall"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/wire/peerpb"
)

// counters counts the copies that are sent and taken, and the work for them. It is published
// under the key "follow" of /debug/vars. Times are in microseconds, sizes in bytes.
var counters = newCopyCounters()

type copyCounters struct {
	// wholeSent and changesSent count copies with items that were sent to other nodes, whole or
	// as changes since a position; wholeTaken and changesTaken those that were received.
	wholeSent, wholeSentBytes, changesSent, changesSentBytes     expvar.Int
	wholeTaken, wholeTakenBytes, changesTaken, changesTakenBytes expvar.Int
	// copyAgeMillis is the age of the copy.
	copyAgeMillis expvar.Int
	// storeReads counts full reads of the store, askRounds rounds of requests to peers.
	storeReads, askRounds expvar.Int
	// encodeMicros is the time for encoding copies, sendMicros for sending them.
	encodeMicros, sendMicros expvar.Int
	// releases counts the releases in force so far. The times are those of their stages.
	releases                                                        expvar.Int
	lockMicros, mergeMicros, decodeMicros, buildMicros, applyMicros expvar.Int
}

// newCopyCounters returns counters that are registered with expvar.
func newCopyCounters() *copyCounters {
	c := &copyCounters{}
	vars := expvar.NewMap("follow")
	vars.Set("whole_copies_sent", &c.wholeSent)
	vars.Set("whole_copies_sent_bytes", &c.wholeSentBytes)
	vars.Set("changes_sent", &c.changesSent)
	vars.Set("changes_sent_bytes", &c.changesSentBytes)
	vars.Set("whole_copies_taken", &c.wholeTaken)
	vars.Set("whole_copies_taken_bytes", &c.wholeTakenBytes)
	vars.Set("changes_taken", &c.changesTaken)
	vars.Set("changes_taken_bytes", &c.changesTakenBytes)
	vars.Set("copy_age_ms", &c.copyAgeMillis)
	vars.Set("store_reads", &c.storeReads)
	vars.Set("ask_rounds", &c.askRounds)
	vars.Set("encode_us", &c.encodeMicros)
	vars.Set("send_us", &c.sendMicros)
	vars.Set("releases", &c.releases)
	vars.Set("lock_us", &c.lockMicros)
	vars.Set("merge_us", &c.mergeMicros)
	vars.Set("decode_us", &c.decodeMicros)
	vars.Set("build_us", &c.buildMicros)
	vars.Set("apply_us", &c.applyMicros)
	return c
}

// countSent counts a copy that was sent, and the time that this took.
func (c *copyCounters) countSent(sent *peerpb.SourceCopy, took time.Duration) {
	c.sendMicros.Add(took.Microseconds())
	countCopy(sent, &c.wholeSent, &c.wholeSentBytes, &c.changesSent, &c.changesSentBytes)
}

// countTaken counts a copy that was received.
func (c *copyCounters) countTaken(taken *peerpb.SourceCopy) {
	countCopy(taken, &c.wholeTaken, &c.wholeTakenBytes, &c.changesTaken, &c.changesTakenBytes)
}

func countCopy(m *peerpb.SourceCopy, whole, wholeBytes, changes, changesBytes *expvar.Int) {
	size := int64(len(m.GetItems()))
	switch {
	case size == 0:
	case m.GetAfter() == 0:
		whole.Add(1)
		wholeBytes.Add(size)
	default:
		changes.Add(1)
		changesBytes.Add(size)
	}
}

// usage is a moment with the processor time that the process has used until then.
type usage struct {
	at, cpu time.Duration
}

func (f *Follower) usage() usage {
	return usage{at: f.boot(), cpu: processorTime()}
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Ways on which a release item reaches a node.
const (
	viaStore  = "store"
	viaParent = "parent"
	viaPeer   = "peer"
)

// arrival describes how the release item that a node holds reached it.
type arrival struct {
	// at is the position of the item.
	at source.Position
	// via is the way, and from the node that sent it, "" for the store.
	via, from string
	// whole is set if it came in a copy of all items, and bytes is the size of that message.
	whole bool
	bytes int
	// transit bounds how long the message was under way.
	transit time.Duration
	// received is when it was received, locked when it held mu, and merged when it was part of
	// the copy and could be passed on.
	received, locked, merged usage
	gc                       gcUsage
}

// recordArrivalLocked keeps how the release item came, if a came with a newer one. The caller
// holds mu.
func (f *Follower) recordArrivalLocked(a arrival) {
	item, found := f.replica.Release()
	if !found || item.Position() == f.arrival.at {
		return
	}
	a.at, a.merged = item.Position(), f.usage()
	f.arrival = a
	counters.lockMicros.Add((a.locked.at - a.received.at).Microseconds())
	counters.mergeMicros.Add((a.merged.at - a.locked.at).Microseconds())
}

// stages are the moments of bringing a release in force.
type stages struct {
	arrival                        arrival
	began, decoded, built, applied usage
}

// reportInForce counts and logs when and how a release came in force. The fields named cpu hold
// the processor time of the whole process.
func (f *Follower) reportInForce(sequence uint64, s *stages) {
	counters.releases.Add(1)
	counters.decodeMicros.Add((s.decoded.at - s.began.at).Microseconds())
	counters.buildMicros.Add((s.built.at - s.decoded.at).Microseconds())
	counters.applyMicros.Add((s.applied.at - s.built.at).Microseconds())
	a, gc := &s.arrival, readGC()
	f.log.Info().Str("event", "release-in-force").Uint64("sequence", sequence).
		Uint64("era", a.at.Era).Uint64("revision", a.at.Revision).
		Str("via", a.via).Str("from", a.from).Bool("whole", a.whole).Int("bytes", a.bytes).Dur("transit_ms", a.transit).
		Dur("total_ms", s.applied.at-a.received.at).Dur("total_cpu_ms", s.applied.cpu-a.received.cpu).
		Dur("lock_ms", a.locked.at-a.received.at).
		Dur("merge_ms", a.merged.at-a.locked.at).Dur("merge_cpu_ms", a.merged.cpu-a.locked.cpu).
		Dur("wait_ms", s.began.at-a.merged.at).Dur("wait_cpu_ms", s.began.cpu-a.merged.cpu).
		Dur("decode_ms", s.decoded.at-s.began.at).Dur("decode_cpu_ms", s.decoded.cpu-s.began.cpu).
		Dur("build_ms", s.built.at-s.decoded.at).Dur("build_cpu_ms", s.built.cpu-s.decoded.cpu).
		Dur("apply_ms", s.applied.at-s.built.at).Dur("apply_cpu_ms", s.applied.cpu-s.built.cpu).
		Uint64("gc_cycles", gc.cycles-a.gc.cycles).Dur("gc_cpu_ms", gc.cpu-a.gc.cpu).Uint64("allocated", gc.allocated-a.gc.allocated).
		Stringer("whole_sent", &counters.wholeSent).Stringer("whole_sent_bytes", &counters.wholeSentBytes).
		Stringer("changes_sent", &counters.changesSent).Stringer("changes_sent_bytes", &counters.changesSentBytes).
		Stringer("whole_taken", &counters.wholeTaken).Stringer("whole_taken_bytes", &counters.wholeTakenBytes).
		Stringer("changes_taken", &counters.changesTaken).Stringer("changes_taken_bytes", &counters.changesTakenBytes).
		Stringer("ask_rounds", &counters.askRounds).Stringer("store_reads", &counters.storeReads).
		Stringer("encode_us", &counters.encodeMicros).Stringer("send_us", &counters.sendMicros).
		Msg("release is in force at this node")
}

// gcUsage is the work of the garbage collector since the process started.
type gcUsage struct {
	cycles, allocated uint64
	cpu               time.Duration
}

// readGC returns the work of the garbage collector so far. Its processor time is that of the
// cycles that have ended.
func readGC() gcUsage {
	s := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/gc/heap/allocs:bytes"}, {Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(s)
	cpu := s[2].Value.Float64() * float64(time.Second)
	return gcUsage{cycles: s[0].Value.Uint64(), allocated: s[1].Value.Uint64(), cpu: time.Duration(math.Round(cpu))}
}
