// Package lifetime derives the moments that bound every wait of a request, at each node that
// it passes:
//
//   - Until its deadline, attempts are made and servers work on it.
//   - Until its end, a response that a server has begun is delivered. After the end nothing
//     waits for the request any more: what is incomplete is cut.
package lifetime

import "time"

// DeliveryTime is the time between the deadline of a request and its end. Callers expect the
// end of a request at most half a second after its timeout; the rest is left for the way.
const DeliveryTime = 400 * time.Millisecond

// End returns the end of a request with the given deadline.
func End(deadline time.Time) time.Time { return deadline.Add(DeliveryTime) }

// SendEnd returns until when a complete response may be sent if sending begins at now: until
// the end of its request, but for no less than DeliveryTime, as the response may be ready late.
func SendEnd(end, now time.Time) time.Time {
	if least := now.Add(DeliveryTime); least.After(end) {
		return least
	}
	return end
}
