package distribution

import (
	"fmt"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// settlePeriod is the time after convergence during which bytes and source calls are
	// still attributed to the release.
	settlePeriod = 300 * time.Millisecond
	// cutLength is the duration of a partition.
	cutLength = 8 * time.Second
	// maxMicros is the highest convergence time that can be recorded, in microseconds.
	maxMicros = int64(2 * time.Minute / time.Microsecond)
)

// row is one row of the table. Floating-point values that were not measured are negative.
type row struct {
	name         string
	times        *hdrhistogram.Histogram
	bytes        float64
	minBytes     int
	calls        float64
	idleBytes    float64
	idleCPU      float64
	memory       float64
	peakReads    uint64
	peakWatching int64
}

func newRow(name string) *row {
	return &row{name: name, times: hdrhistogram.New(1, maxMicros, 3), bytes: -1, calls: -1, idleBytes: -1, idleCPU: -1, memory: -1}
}

func (r *row) record(took []time.Duration) error {
	for _, t := range took {
		if err := r.times.RecordValue(max(1, t.Microseconds())); err != nil {
			return err
		}
	}
	return nil
}

func (r *row) print(s Spec) {
	ms := func(us int64) string { return strconv.FormatFloat(float64(us)/1000, 'f', 1, 64) }
	value := func(v float64, digits int) string {
		if v < 0 {
			return "-"
		}
		return strconv.FormatFloat(v, 'f', digits, 64)
	}
	fmt.Printf("| %d | %d | %s | %g%% | %s | %s | %s | %s | %s | %d | %s | %s | %s | %s | %d | %d |\n",
		s.Nodes, s.Services, s.Preset, s.Loss*100, r.name,
		ms(r.times.ValueAtQuantile(50)), ms(r.times.ValueAtQuantile(99)), ms(r.times.Max()),
		value(r.bytes, 0), r.minBytes, value(r.calls, 1), value(r.idleBytes, 0), value(r.idleCPU, 3), value(r.memory, 0),
		r.peakReads, r.peakWatching)
}

// measureFleet measures the distribution of releases between real node drivers. If a
// measurement fails, it returns the rows so far with the error.
func measureFleet(s Spec) ([]*row, error) {
	f, err := newFleet(s)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	before := processMemory()
	if err := f.start(); err != nil {
		return nil, err
	}
	if err := f.awaitConnected(); err != nil {
		return nil, err
	}
	f.net.setLoss(s.Loss)
	var rows []*row
	steps := []func() (*row, error){f.measureFullRelease, f.measureIncremental}
	if s.Cut {
		steps = append(steps, f.measureCut)
	}
	for _, step := range steps {
		r, err := step()
		if err != nil {
			return rows, err
		}
		r.memory = (processMemory() - before) / float64(s.Nodes) / 1024
		rows = append(rows, r)
	}
	return rows, nil
}

// measureFullRelease publishes a release to nodes that hold none, so that each fetches all
// of it. Its cost is a lower bound for pushing complete releases.
func (f *fleet) measureFullRelease() (*row, error) {
	r := newRow("whole release")
	if err := f.measureRelease(r, 0); err != nil {
		return r, err
	}
	return r, f.platformPeaks(r)
}

// measureIncremental measures the idle fleet, then publishes releases with one changed chunk
// each and averages their costs.
func (f *fleet) measureIncremental() (*row, error) {
	r := newRow("one chunk changed")
	f.measureIdle(r)
	var total, calls float64
	for range f.spec.Releases {
		if err := f.measureRelease(r, r.idleBytes); err != nil {
			return r, err
		}
		total += r.bytes
		calls += r.calls
	}
	r.bytes = total / float64(f.spec.Releases)
	r.calls = calls / float64(f.spec.Releases)
	return r, f.platformPeaks(r)
}

// measureRelease publishes one release and adds its convergence times to r. It sets r's
// bytes per node to those beyond the idle rate, which is in bytes per second and node. Each
// byte is counted once, at the dialing end.
func (f *fleet) measureRelease(r *row, idle float64) error {
	start, bytes := time.Now(), f.net.bytes.Load()
	before, err := f.stats()
	if err != nil {
		return err
	}
	v, at, err := f.publish()
	if err != nil {
		return err
	}
	r.minBytes = f.minBytes
	took, err := f.awaitConvergence(v, at)
	if err != nil {
		return err
	}
	time.Sleep(settlePeriod)
	after, err := f.stats()
	if err != nil {
		return err
	}
	perNode := float64(f.net.bytes.Load()-bytes) / float64(f.spec.Nodes)
	r.bytes = max(0, perNode-idle*time.Since(start).Seconds())
	r.calls = float64(after.ReadsTotal - before.ReadsTotal)
	return r.record(took)
}

func (f *fleet) measureIdle(r *row) {
	runtime.GC()
	start, bytes, cpu := time.Now(), f.net.bytes.Load(), cpuTime()
	time.Sleep(f.spec.Idle)
	seconds := time.Since(start).Seconds()
	nodes := float64(f.spec.Nodes)
	r.idleBytes = float64(f.net.bytes.Load()-bytes) / seconds / nodes
	r.idleCPU = (cpuTime() - cpu).Seconds() / seconds / nodes * 100
}

// measureCut partitions the first failure domain from the others and from the platform,
// publishes a release, heals the partition after cutLength and measures the convergence
// times from the healing. Nodes that applied the release before that are not recorded.
func (f *fleet) measureCut() (*row, error) {
	r := newRow("domain cut for " + cutLength.String() + ", from healing")
	const domain = "d0"
	f.setCut(domain, true)
	v, _, err := f.publish()
	if err != nil {
		return r, err
	}
	time.Sleep(cutLength)
	f.setCut(domain, false)
	healed := time.Now()
	took, err := f.awaitConvergence(v, healed)
	if err != nil {
		return r, err
	}
	var afterHealing []time.Duration
	for _, t := range took {
		if t > 0 {
			afterHealing = append(afterHealing, t)
		}
	}
	return r, r.record(afterHealing)
}

func (f *fleet) setCut(domain string, cut bool) {
	f.net.setCut(domain, cut)
	f.gates[domain].closed.Store(cut)
}

func (f *fleet) platformPeaks(r *row) error {
	s, err := f.stats()
	r.peakReads, r.peakWatching = s.PeakReadsPerSecond, s.PeakWaitingWatches
	return err
}

// processMemory returns the size of the process's heap and stacks in use, in bytes.
func processMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
