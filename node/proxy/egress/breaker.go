package egress

import (
	"math/rand/v2"
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/breaker"
	"auburnladder.example/core/steady"
	"auburnladder.example/wire/peerpb"
	"github.com/valyala/fasthttp"
)

// RequestFailed reports that this node responded with a status of 500 or more to a request that
// arrived at it. The request may be a call of the backend server: where these have no listener of their
// own, they can't be told from requests of clients. It may be called from any goroutine.
func (e *Egress) RequestFailed() {
	e.lastRequestFailure.Store(steady.Nanos(e.Now()))
}

// breaks reports whether routes are refused whose requests fail because calls of the server do.
func (e *Egress) breaks() bool { return e.cfg.Admission.Order == admission.OrderUrgency }

// spareShare is the share of the slots that a route may use, together with all others, although most of its
// requests fail: some of them succeed, and nothing else needs the slots.
const spareShare = 0.75

// hasSpareSlots reports whether the server has slots that no other request needs.
func (e *Egress) hasSpareSlots() bool {
	l := e.limiter.Load()
	return l.Queued == 0 && float64(l.InFlight+1) <= spareShare*float64(l.Limit)
}

// checkCallsOfRoute returns a refusal if most requests of the call's route fail because calls of the
// server do, unless the server has slots to spare.
func (x *exchange) checkCallsOfRoute() error {
	e := x.egress
	if !e.breaks() || e.breaker.Allow(e.Now(), x.call.GetRoute()) || e.hasSpareSlots() {
		return nil
	}
	egressStats.Add("breaker_refused", 1)
	return &refusalError{
		refusal: peerpb.Refusal_REFUSAL_OVERLOAD,
		detail:  "most requests of this route fail because calls that the backend server makes for them fail",
		// Spread, so that callers that were refused together don't return together.
		retryAfter: time.Duration((0.5 + rand.Float64()) * float64(e.breaker.RetryAfter())),
	}
}

// recordCallsOfRoute records whether the request failed because a call of the server did: the server's
// response is an error or missing, and a request that arrived at this node failed while it ran.
func (x *exchange) recordCallsOfRoute(now time.Time, res admission.Result) {
	e := x.egress
	if !e.breaks() || x.started.IsZero() || x.status == 0 && res.Unmeasured {
		return
	}
	failed := (x.status == 0 || x.status >= fasthttp.StatusInternalServerError) &&
		(e.dependencyFailedSince(x.started) || e.lastRequestFailure.Load() >= steady.Nanos(x.started))
	route := x.call.GetRoute()
	switch e.breaker.Record(now, x.started, route, failed) {
	case breaker.Opened:
		egressStats.Add("breaker_opened", 1)
		e.Log.Warn().Str("event", "breaker-opened").Str("route", route).Uint32("rank", x.call.GetRank()).
			Msg("requests of this route are refused: calls that the backend server makes for them fail")
	case breaker.Closed:
		e.Log.Info().Str("event", "breaker-closed").Str("route", route).
			Msg("requests of this route are served again")
	}
}
