package egress

import (
	"bytes"
	"math"
	"sync/atomic"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/workload"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

const (
	// loadLogInterval is the minimum time between two log lines about malformed load headers.
	loadLogInterval = 10 * time.Second
	// loadFields is the number of fields of a load header without the slowdown.
	loadFields = 3
	// maxLoadFigure limits each field of a load header.
	maxLoadFigure = 1_000_000
)

// serverWork holds the outstanding work and the speed of the local backend server.
type serverWork struct {
	// fleet has the expected work over all servers that this node sends requests to, own that at the
	// local server.
	fleet, own  *workload.Estimator
	speed       workload.Speed
	tail        *workload.Tail
	outstanding workload.Outstanding
	// loggedAt is when a malformed load header was logged last, in Unix nanoseconds.
	loggedAt atomic.Int64
}

// callWork is the part of one call in the outstanding work.
type callWork struct {
	expected time.Duration
	slot     workload.Slot
	running  bool
}

// TrackWork makes the replies carry the outstanding work and the slowdown of the server. fleet has the
// expected work of requests at all servers. It must be called before the first call.
func (e *Egress) TrackWork(fleet *workload.Estimator) {
	e.work = &serverWork{fleet: fleet, own: workload.NewEstimator(), tail: workload.NewTail()}
}

// workRequest returns what is known about the call before it runs.
func (x *exchange) workRequest() workload.Request {
	size := len(x.call.GetBody())
	if n := x.call.GetBodyBytes(); n > 0 {
		size = int(min(n, math.MaxInt32))
	}
	return workload.Request{Route: x.call.GetRoute(), Method: x.call.GetMethod(), Caller: x.call.GetCaller(), BodyBytes: size}
}

// countWaiting counts the call in the outstanding work.
func (x *exchange) countWaiting(now time.Time) {
	if w := x.egress.work; w != nil {
		x.work.expected = workload.ExpectedAt(w.fleet, w.own, steady.Nanos(now), x.workRequest())
		w.outstanding.AddWaiting(x.work.expected)
	}
}

// countAdmitted counts the call as running if it was granted a slot, and no longer otherwise.
func (x *exchange) countAdmitted(granted bool) {
	w := x.egress.work
	if w == nil {
		return
	}
	w.outstanding.RemoveWaiting(x.work.expected)
	if granted {
		x.work.slot = w.outstanding.Begin(steady.Nanos(x.egress.Now()), x.work.expected)
		x.work.running = true
	}
}

// countEnded removes the call from the outstanding work and learns from its service time.
func (x *exchange) countEnded(res admission.Result) {
	w := x.egress.work
	if w == nil || !x.work.running {
		return
	}
	x.work.running = false
	w.outstanding.End(x.work.slot, x.work.expected)
	if x.started.IsZero() || res.Unmeasured || res.Shed || x.status >= fasthttp.StatusInternalServerError {
		return
	}
	now := x.egress.Now()
	at, took := steady.Nanos(now), now.Sub(x.started)
	if x.status != 0 {
		workload.RecordRun(w.own, &w.speed, w.tail, at, x.workRequest(), x.work.expected, took)
		return
	}
	// Without a response, the time is a lower bound of the service time.
	if ratio := float64(took) / float64(max(1, x.work.expected)); x.work.expected > 0 && ratio > w.speed.Slowdown(at) {
		w.speed.Observe(at, ratio)
	}
}

// addWork adds the outstanding work and the slowdown to a report.
func (e *Egress) addWork(l *peerpb.Load) {
	if e.work == nil {
		return
	}
	work, slowdown := e.work.report(e.Now())
	l.WorkMs = uint32(min(work.Milliseconds(), math.MaxUint32))
	l.SlowdownPercent = uint32(max(1, math.Round(slowdown*percent)))
}

// percent converts a ratio to percent.
const percent = 100

// report returns the outstanding work and the slowdown.
func (w *serverWork) report(now time.Time) (work time.Duration, slowdown float64) {
	at := steady.Nanos(now)
	slowdown = w.speed.Slowdown(at)
	return w.outstanding.Rest(at, slowdown, w.tail), slowdown
}

// publishWorkMetrics updates the gauges of the outstanding work and the speed.
func (e *Egress) publishWorkMetrics() {
	if e.work == nil {
		return
	}
	work, slowdown := e.work.report(e.Now())
	egressStats.Set("outstanding_work_ms", gauge(work.Milliseconds()))
	egressStats.Set("slowdown_percent", gauge(math.Round(slowdown*percent)))
}

// recordServerLoad takes the slowdown from the load header of a response.
func (x *exchange) recordServerLoad(resp *fasthttp.Response) {
	e := x.egress
	if e.work == nil || e.Headers.ServerLoad == "" {
		return
	}
	value := resp.Header.Peek(e.Headers.ServerLoad)
	if len(value) == 0 {
		return
	}
	at := steady.Nanos(e.Now())
	slowdown, valid := parseServerLoad(value)
	if slowdown > 0 {
		e.work.speed.Report(at, slowdown)
	}
	if valid {
		return
	}
	egressStats.Add("server_load_invalid", 1)
	if last := e.work.loggedAt.Load(); at-last >= int64(loadLogInterval) && e.work.loggedAt.CompareAndSwap(last, at) {
		e.Log.Warn().Str("event", "server-load-invalid").Bytes("value", value[:min(len(value), maxLoggedLoad)]).
			Msg("load header of the backend server ignored: expected running,waiting,slots and optionally the slowdown in percent")
	}
}

// maxLoggedLoad limits the logged part of a load header, in bytes.
const maxLoggedLoad = 100

// parseServerLoad returns the slowdown in percent from a load header, which has the fields running,
// waiting, slots and, optionally, the slowdown; 0 without the last one. Further fields are ignored.
func parseServerLoad(value []byte) (slowdown uint32, valid bool) {
	for field := 0; ; field++ {
		text, rest, more := bytes.Cut(value, []byte{','})
		n, err := fasthttp.ParseUint(bytes.TrimSpace(text))
		if err != nil || n > maxLoadFigure || field == loadFields && n == 0 {
			return 0, false
		}
		switch {
		case field == loadFields:
			return uint32(n), true
		case !more:
			return 0, field == loadFields-1
		}
		value = rest
	}
}
