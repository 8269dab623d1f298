package egress

import (
	"math"
	"strconv"

	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/proxy"
	"github.com/valyala/fasthttp"
)

// milli converts a rate to thousandths, for an integer gauge.
const milli = 1000

// announcements is what one run of the backend server says about itself in its responses. It
// is immutable.
type announcements struct {
	run  vmlist.Run
	rate announcedRate
	// heard is set once this node has had a response of the run. Until then rate may come from
	// another node.
	heard bool
}

// announcedRate is the rate limit that a server announced, in requests per second. Without a
// limit, limited is false.
type announcedRate struct {
	perSecond float64
	limited   bool
}

// leavingValue is the value of the header with which a server announces that it leaves.
const leavingValue = "1"

// recordAnnouncements applies what the server says about itself in a response to this call.
func (x *exchange) recordAnnouncements(resp *fasthttp.Response) {
	names := &x.egress.Headers
	x.recordServerLoad(resp)
	if names.RateLimit != "" {
		x.recordRate(resp, names.RateLimit)
	}
	if names.Leaving != "" && string(resp.Header.Peek(names.Leaving)) == leavingValue {
		x.egress.Announcements.RecordLeavingServer(x.target)
	}
}

// recordRate applies the rate limit in the header with the given name.
func (x *exchange) recordRate(resp *fasthttp.Response, name string) {
	rate, valid := parseRate(resp.Header.Peek(name))
	if !valid {
		x.egress.Log.Warn().Str("event", "server-limit-invalid").Bytes("value", resp.Header.Peek(name)).
			Msg("rate limit of the backend server ignored: expected a decimal number of requests per second")
		return
	}
	x.egress.applyAnnouncedRate(x.target, rate)
}

// parseRate decodes the value of a rate limit header. An empty value means that there is no
// limit.
func parseRate(value []byte) (rate announcedRate, valid bool) {
	if len(value) == 0 {
		return announcedRate{}, true
	}
	perSecond, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return announcedRate{}, false
	}
	return announcedRate{perSecond: perSecond, limited: true}, true
}

// applyAnnouncedRate limits the requests to the server to the rate that a run of it announced.
// It ignores a response of an earlier run.
func (e *Egress) applyAnnouncedRate(run vmlist.Run, rate announcedRate) {
	if a := e.announced.Load(); a.run != run || a.heard && a.rate == rate {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announced.Load().run == run {
		e.setAnnounced(announcements{run: run, rate: rate, heard: true})
	}
}

// adoptRate applies the rate limit that the caller's node remembers from an earlier response of the
// server, unless this node has had a response since: it may have restarted.
func (x *exchange) adoptRate() {
	e, run := x.egress, x.target
	if a := e.announced.Load(); e.Headers.RateLimit == "" || a.heard || a.run != run || x.call.GetInstance() != run.Instance {
		return
	}
	for _, h := range x.call.GetHeaders() {
		if h.GetName() != proxy.ServerLimitHeader {
			continue
		}
		text, ok := proxy.ParseServerLimit(h.GetValue(), run)
		if rate, valid := parseRate([]byte(text)); ok && valid {
			e.adoptRate(run, rate)
		}
		return
	}
}

func (e *Egress) adoptRate(run vmlist.Run, rate announcedRate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.announced.Load(); a.run == run && !a.heard {
		e.setAnnounced(announcements{run: run, rate: rate})
	}
}

// startRun forgets what an earlier run of the server announced. It requires mu.
func (e *Egress) startRun(run vmlist.Run) {
	if run != e.announced.Load().run {
		e.setAnnounced(announcements{run: run})
	}
}

// setAnnounced replaces the announcements, and applies and logs a changed rate limit. It
// requires mu.
func (e *Egress) setAnnounced(a announcements) {
	old := e.announced.Swap(&a)
	if a.rate == old.rate {
		return
	}
	e.limiter.SetRateLimit(e.Now(), a.rate.perSecond, a.rate.limited)
	egressStats.Set("announced_rate_milli", gauge(a.rate.perSecond*milli))
	e.Log.Info().Str("event", "server-limit").Bool("limited", a.rate.limited).Float64("per_second", a.rate.perSecond).
		Str("instance", a.run.Instance).Msg("rate limit of the backend server changed")
}
