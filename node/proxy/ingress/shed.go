package ingress

import (
	"errors"
	"math"
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/wire/peerpb"
)

// errNoSlotInTime reports that no backend server would start the request in time.
var errNoSlotInTime = errors.New("no backend server would start the request in time")

// shed reports whether the call is refused because no server would start it in time, as far as their
// nodes reported lately. It then sets retryAfter. After an attempt that failed otherwise, it reports
// false.
func (c *call) shed(last *attempt) bool {
	table := c.ingress.Router.Table(c.target.Name)
	if table == nil || last != nil && !last.refusedForOverload() {
		return false
	}
	lateness := c.lateness(time.Now(), randomSource{}, table)
	if !lateness.Refuse {
		return false
	}
	c.wasShed = true
	c.retryAfter = lateness.RetryAfter
	metrics.shed.Add(1)
	return true
}

// refusedForOverload reports whether the server's node refused the attempt because no slot would
// become free in time.
func (a *attempt) refusedForOverload() bool {
	var refused *refusedError
	return errors.As(a.err, &refused) && refused.refusal == peerpb.Refusal_REFUSAL_OVERLOAD
}

// routingWaits converts the waits of a load report, of which the last value stands for all further
// ranks. It returns false if there are none.
func routingWaits(ms []uint32) (waits routing.Waits, known bool) {
	if len(ms) == 0 {
		return waits, false
	}
	for i := range waits {
		waits[i] = uint16(min(ms[min(i, len(ms)-1)], math.MaxUint16))
	}
	return waits, true
}
