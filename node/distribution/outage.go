package distribution

import "sync"

// outageFailures is the number of failed calls in a row that counts as an outage of
// the platform. One failed call is no news.
const outageFailures = 3

// outage notices when the platform stops answering and when it answers again. Its
// methods are safe for concurrent use.
type outage struct {
	mu       sync.Mutex
	failures int
}

// failed counts a failed call and reports whether an outage begins with it.
func (o *outage) failed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	return o.failures == outageFailures
}

// answered notes an answer and reports whether it ends an outage.
func (o *outage) answered() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.failures >= outageFailures
	o.failures = 0
	return ended
}

// ongoing reports whether the last calls all failed.
func (o *outage) ongoing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failures >= outageFailures
}

// SourceFailing reports whether the platform gave no answer to the last calls.
func (d *Driver) SourceFailing() bool {
	return d.outage.ongoing()
}
