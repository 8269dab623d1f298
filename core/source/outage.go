package source

import "time"

// retainedEntry is a server entry that stays in the list until a given time although it
// was removed from the store.
type retainedEntry struct {
	entry ServerEntry
	until time.Time
}

// RecordFailure records a failed request to the store.
func (r *Replica) RecordFailure(now time.Time) {
	if r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// RecordSuccess records a response from the store. If it ends an outage, server entries
// that are removed within Config.ReturnGrace are retained until that period ends.
func (r *Replica) RecordSuccess(now time.Time) {
	if !r.failedSince.IsZero() && now.Sub(r.failedSince) >= r.cfg.OutageAfter {
		r.graceUntil = now.Add(r.cfg.ReturnGrace)
	}
	r.failedSince = time.Time{}
}

// ExtendGrace extends the grace period up to the given time, because another node has seen
// the end of an outage.
func (r *Replica) ExtendGrace(until time.Time) {
	if until.After(r.graceUntil) {
		r.graceUntil = until
	}
}

// GraceLeft returns the rest of the grace period after an outage, 0 if there is none.
func (r *Replica) GraceLeft(now time.Time) time.Duration {
	return max(0, r.graceUntil.Sub(now))
}

// InReturnGrace reports whether the grace period after an outage is running, in which
// entries that expired during the outage may be written again.
func (r *Replica) InReturnGrace(now time.Time) bool { return now.Before(r.graceUntil) }

// Expire drops retained entries and kept evacuations whose time has ended, and lists withheld entries
// that are still there. It returns the time at which the next grace period ends, or the zero time if none
// is left.
func (r *Replica) Expire(now time.Time) time.Time {
	r.dropLostEvacuations(now)
	for _, key := range r.restored.expired(now) {
		r.listChanges++
		r.decodeServer(r.items[key])
	}
	var next time.Time
	for key, k := range r.retained {
		if !now.Before(k.until) {
			delete(r.retained, key)
			r.listChanges++
			continue
		}
		if next.IsZero() || k.until.Before(next) {
			next = k.until
		}
	}
	return next
}
