package ingress

import (
	"errors"
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/wire/peerpb"
)

// evacuatedBackoff is how long a server gets no calls after its node refused one because its failure domain
// is evacuated. This node learns of the evacuation itself in less time, or else asks again.
const evacuatedBackoff = time.Second

// evacuated reports whether the server's node refused the attempt because its failure domain is evacuated.
func (a *attempt) evacuated() bool {
	var refused *refusedError
	return errors.As(a.err, &refused) && refused.refusal == peerpb.Refusal_REFUSAL_EVACUATED
}

// classifyEvacuated sets the outcome of an attempt that was refused because the server's failure domain is
// evacuated. It is no failure of the server.
func (a *attempt) classifyEvacuated() {
	a.outcome.Kind = routing.Refused
	a.outcome.RetryAfter = max(a.outcome.RetryAfter, evacuatedBackoff)
	a.call.recordRetryAfter(a.outcome.RetryAfter)
}

// recordTried excludes the server of an attempt from the call's further attempts, and all of its failure
// domain if that is evacuated.
func (c *call) recordTried(a *attempt) {
	c.tried = append(c.tried, a.endpoint)
	if !a.evacuated() {
		return
	}
	metrics.evacuated.Add(1)
	if table := c.ingress.Router.Table(c.target.Name); table != nil {
		c.tried = table.AppendDomain(c.tried, a.endpoint.Domain)
	}
}
