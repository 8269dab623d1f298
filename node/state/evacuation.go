package state

import (
	"slices"
	"time"
)

// Evacuation is an evacuation of a failure domain: the node sends nothing more to the backend servers
// there. It is immutable.
type Evacuation struct {
	Domain string
	// Key is the key of the store that evacuates the domain.
	Key string
	// Kept reports that the store came back from an older copy that lacks the key.
	Kept bool
	// Since is when this node learned of the evacuation.
	Since time.Time
}

// maxEndedEvacuations bounds the failure domains whose last evacuation is remembered.
const maxEndedEvacuations = 256

// evacuations are the evacuated failure domains, and when evacuations ended. It is immutable.
type evacuations struct {
	list     []Evacuation
	byDomain map[string]*Evacuation
	// ended holds when this node learned of the end of the last evacuation of a failure domain.
	ended map[string]time.Time
}

// with returns the evacuations after a change to another list. Evacuations of domains that are evacuated
// already keep their time.
func (e *evacuations) with(list []Evacuation, now time.Time) *evacuations {
	next := &evacuations{
		list:     slices.Clone(list),
		byDomain: make(map[string]*Evacuation, len(list)),
		ended:    make(map[string]time.Time),
	}
	for i := range next.list {
		n := &next.list[i]
		n.Since = now
		if old := e.byDomain[n.Domain]; old != nil {
			n.Since = old.Since
		}
		next.byDomain[n.Domain] = n
	}
	for domain, at := range e.ended {
		next.ended[domain] = at
	}
	for domain := range e.byDomain {
		if next.byDomain[domain] == nil {
			next.ended[domain] = now
		}
	}
	next.forgetOldest()
	return next
}

// forgetOldest drops the ends of evacuations above the bound, oldest first. It is called before the
// evacuations are published.
func (e *evacuations) forgetOldest() {
	for len(e.ended) > maxEndedEvacuations {
		oldest := ""
		for domain, at := range e.ended {
			if oldest == "" || at.Before(e.ended[oldest]) {
				oldest = domain
			}
		}
		delete(e.ended, oldest)
	}
}

// equal reports whether a list names the same evacuations.
func (e *evacuations) equal(list []Evacuation) bool {
	return slices.EqualFunc(e.list, list, func(a, b Evacuation) bool {
		return a.Domain == b.Domain && a.Key == b.Key && a.Kept == b.Kept
	})
}

// Evacuations returns the evacuated failure domains. The result must not be changed.
func (f *Fleet) Evacuations() []Evacuation { return f.evacuations.list }

// Evacuated returns the evacuation of a failure domain, or nil if it is not evacuated.
func (f *Fleet) Evacuated(domain string) *Evacuation { return f.evacuations.byDomain[domain] }

// EvacuationEnded returns when this node learned that the last evacuation of a failure domain ended, or the
// zero time if it knows of none. While the domain is evacuated again, it is the end of the one before.
func (f *Fleet) EvacuationEnded(domain string) time.Time { return f.evacuations.ended[domain] }

// ReplaceEvacuations makes a list, without duplicate domains, the evacuated failure domains and returns the
// evacuations that began and ended; none if nothing changed. The fields Since of the list are ignored. It is
// called by package command.
func (s *State) ReplaceEvacuations(list []Evacuation, now time.Time) (began, ended []Evacuation) {
	for {
		old := s.fleet.Load()
		if old.evacuations.equal(list) {
			return nil, nil
		}
		next := newFleet(old.list, old.view, old.leaving, old.evacuations.with(list, now))
		next.since = old.since
		if !s.fleet.CompareAndSwap(old, next) {
			continue
		}
		return missingFrom(next, old), missingFrom(old, next)
	}
}

// missingFrom returns the evacuations of f whose domains are not evacuated in other.
func missingFrom(f, other *Fleet) []Evacuation {
	var missing []Evacuation
	for _, e := range f.Evacuations() {
		if other.Evacuated(e.Domain) == nil {
			missing = append(missing, e)
		}
	}
	return missing
}
