package distribution

import "sync"

// outageThreshold is the number of consecutive failed calls that counts as an outage of
// the platform. A single failed call is not reported.
const outageThreshold = 3

// outage detects the beginning and the end of outages of the platform. Its methods are
// safe for concurrent use.
type outage struct {
	mu       sync.Mutex
	failures int
}

// recordFailure counts a failed call and reports whether it begins an outage.
func (o *outage) recordFailure() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	return o.failures == outageThreshold
}

// recordSuccess resets the failure count and reports whether that ends an outage.
func (o *outage) recordSuccess() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := o.failures >= outageThreshold
	o.failures = 0
	return ended
}

// ongoing reports whether an outage has begun and not ended.
func (o *outage) ongoing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failures >= outageThreshold
}

// SourceFailing reports whether the last calls to the platform, at least outageThreshold of
// them, all failed.
func (d *Driver) SourceFailing() bool {
	return d.outage.ongoing()
}
