package ingress

import (
	"time"

	"auburnladder.example/core/steady"
	"auburnladder.example/core/workload"
)

// workRequest returns what is known about the request before it runs.
func (c *call) workRequest() workload.Request {
	msg := c.message
	return workload.Request{Route: msg.GetRoute(), Method: msg.GetMethod(), Caller: msg.GetCaller(), BodyBytes: len(msg.GetBody())}
}

// expectWork sets the expected work of the request, by which its server is chosen, and the size of its
// body, by which the server's node expects the same.
func (c *call) expectWork() {
	if c.router.Work != nil {
		c.message.BodyBytes = uint64(len(c.message.GetBody()))
		c.expect(time.Now(), c.workRequest())
	}
}

// startWork counts the expected work of the attempt at its server. It is called after Start.
func (a *attempt) startWork(now time.Time) {
	g := a.call.ingress
	if g.Router.Work == nil {
		return
	}
	a.started = now
	a.free = a.endpoint.Load(now) <= 1
	a.endpoint.StartWork(a.call.delay.Work)
	if a.endpoint.Domain != g.State.Identity.Domain {
		metrics.otherDomain.Add(1)
	}
}

// endWork ends what startWork counted.
func (a *attempt) endWork() {
	if a.call.ingress.Router.Work != nil {
		a.endpoint.EndWork(a.call.delay.Work)
	}
}

// minWorkSamples is the number of samples of a route from which requests that may have waited for a slot
// no longer count: their time is not that of the work alone.
const minWorkSamples = 8

// recordWork learns from the time of an attempt with a response, if the request did not wait for a slot.
func (a *attempt) recordWork() {
	work := a.call.ingress.Router.Work
	if work == nil || a.reply.GetStatus() >= 500 {
		return
	}
	now := time.Now()
	at, r := steady.Nanos(now), a.call.workRequest()
	if a.free && a.reply.GetLoad().GetQueued() == 0 || work.Expected(at, r).Samples < minWorkSamples {
		work.Record(at, r, now.Sub(a.started))
	}
}
