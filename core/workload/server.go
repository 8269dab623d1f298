package workload

import "time"

// minFleetSamples is the number of samples from which the estimate over all servers of a service is
// used at one of them.
const minFleetSamples = 16

// ExpectedAt returns the expected work of a request at one server. It is the estimate over all servers
// of the service (fleet, may be nil), so that the server's speed can be compared with theirs, or else
// that of the server's own service times.
func ExpectedAt(fleet, own *Estimator, at int64, r Request) time.Duration {
	if fleet != nil {
		if est := fleet.Expected(at, r); est.Samples >= minFleetSamples {
			return est.Work
		}
	}
	return own.Expected(at, r).Work
}

// RecordRun adds the service time of a request at one server, of which the given work was expected, to
// its estimates. Service times in own are those at the usual speed.
func RecordRun(own *Estimator, s *Speed, t *Tail, at int64, r Request, expected, serviceTime time.Duration) {
	slowdown := s.Slowdown(at)
	work := float64(serviceTime) / slowdown
	own.Record(at, r, time.Duration(work))
	if expected <= 0 {
		return
	}
	t.Record(work / float64(expected))
	s.Observe(at, float64(serviceTime)/float64(expected))
}
