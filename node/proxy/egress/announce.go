package egress

import (
	"math"
	"strconv"

	"github.com/valyala/fasthttp"
)

// noRateLimit is the rate of a server that announces no limit.
const noRateLimit = 0

// recordAnnouncements takes over what the server says about itself in a response to this
// request.
func (x *exchange) recordAnnouncements(resp *fasthttp.Response) {
	name := x.egress.Headers.RateLimit
	if name == "" {
		return
	}
	rate := float64(noRateLimit)
	if value := resp.Header.Peek(name); len(value) > 0 {
		var err error
		if rate, err = strconv.ParseFloat(string(value), 64); err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
			x.egress.Log.Warn().Str("event", "server-limit-invalid").Bytes("value", value).Msg("rate limit of the backend server ignored: expected a decimal number of requests per second")
			return
		}
	}
	x.egress.setAnnouncedRate(rate)
}

// setAnnouncedRate records the rate limit that the server announced last, and logs a change.
func (e *Egress) setAnnouncedRate(rate float64) {
	old := math.Float64frombits(e.announcedRate.Swap(math.Float64bits(rate)))
	if old == rate {
		return
	}
	egressStats.Set("announced_rate_milli", gauge(rate*1000))
	e.Log.Info().Str("event", "server-limit").Float64("per_second", rate).Float64("before", old).Msg("backend server announced another rate limit; 0 is none")
}
