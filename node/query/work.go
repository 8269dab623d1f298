package query

import (
	"time"

	"auburnladder.example/core/routing"
	"auburnladder.example/core/routing/shortestdelay"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/steady"
	"auburnladder.example/core/workload"
)

// subject is the request for which servers are weighed.
type subject struct {
	workload.Request
	rank uint32
	work time.Duration
}

// expectedWork returns the expected work of a request, nil if it isn't learned.
func (q *Querier) expectedWork(r workload.Request) *statusapi.ExpectedWork {
	if q.Work == nil {
		return nil
	}
	est := q.Work.Expected(steady.Nanos(q.Now()), r)
	return &statusapi.ExpectedWork{WorkMs: est.Work.Milliseconds(), Samples: est.Samples, AgeMs: est.Age.Milliseconds()}
}

// expectedDelay returns when a request is expected to end at e; without a request, when it would start to
// run.
func (e endpoint) expectedDelay(now time.Time, s *subject) *statusapi.ExpectedDelay {
	var p shortestdelay.Picker
	if s != nil {
		p = shortestdelay.Picker{Work: s.work, BodyBytes: s.BodyBytes}
	}
	x := e.Expect(now, p.Work)
	costs := p.Costs(e.table, e.Endpoint, x)
	d := &statusapi.ExpectedDelay{
		EndMs: x.End.Milliseconds(), QueueMs: x.Wait.Milliseconds(), RunMs: (x.End - x.Wait).Milliseconds(),
		DistanceMs: costs.Distance.Milliseconds(), FullMs: costs.Full.Milliseconds(),
		OutstandingMs: x.Outstanding.Milliseconds(), Slowdown: x.Slowdown, ReportAgeMs: -1,
	}
	if x.Reported {
		d.ReportAgeMs = x.Age.Milliseconds()
	}
	return d
}

// reportedWait returns the wait for a rank that the server reported, nil if it reported none.
func reportedWait(now time.Time, e *routing.Endpoint, rank uint32) *statusapi.ReportedWait {
	w, known := e.ReportedWait(now, rank)
	if !known {
		return nil
	}
	return &statusapi.ReportedWait{WaitMs: w.Wait.Milliseconds(), Refuses: w.Refuses, AgeMs: w.Age.Milliseconds(), Used: w.Used}
}
