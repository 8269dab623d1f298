package query

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"auburnladder.example/cli/console"
	"auburnladder.example/core/statusapi"
)

// evacuation is an evacuated failure domain as the nodes of a fleet know it.
type evacuation struct {
	Domain string `json:"domain"`
	Key    string `json:"key"`
	// VMs lists the VMs whose nodes know of the evacuation, and Unaware the reachable ones whose nodes
	// don't.
	VMs     []string `json:"vms"`
	Unaware []string `json:"unaware,omitempty"`
	// KnownFor is the time in seconds since the last of these nodes learned of it, by the nodes' clocks,
	// and CopyAge the age in seconds of the oldest copy of the store.
	KnownFor float64 `json:"known_for_s"`
	CopyAge  float64 `json:"copy_age_s"`
	// Kept reports that some node keeps the evacuation although the store, which came back from an older
	// copy, lacks its key.
	Kept bool `json:"kept,omitempty"`
}

// addEvacuations adds the evacuations that a node knows of.
func (r *fleetStatus) addEvacuations(row *nodeRow) {
	for _, e := range row.status.Evacuations {
		known := row.status.Now.Sub(e.Since).Seconds()
		i := slices.IndexFunc(r.Evacuations, func(o evacuation) bool { return o.Key == e.Key })
		if i < 0 {
			i = len(r.Evacuations)
			r.Evacuations = append(r.Evacuations, evacuation{Domain: e.Domain, Key: e.Key, KnownFor: known})
		}
		o := &r.Evacuations[i]
		o.VMs = append(o.VMs, row.VM)
		o.KnownFor = min(o.KnownFor, known)
		o.CopyAge = max(o.CopyAge, (time.Duration(e.CopyAgeMS) * time.Millisecond).Seconds())
		o.Kept = o.Kept || e.Kept
	}
}

// addUnaware adds to each evacuation the reachable nodes that do not know of it, and sorts the
// evacuations.
func (r *fleetStatus) addUnaware() {
	for i := range r.Evacuations {
		e := &r.Evacuations[i]
		for _, row := range r.VMs {
			if row.status != nil && !slices.Contains(e.VMs, row.VM) {
				e.Unaware = append(e.Unaware, row.VM)
			}
		}
	}
	slices.SortFunc(r.Evacuations, func(a, b evacuation) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Key, b.Key))
	})
}

func printEvacuations(c *console.Console, list []evacuation) {
	for _, e := range list {
		c.Printf("evacuated: domain %s by key %s on %d VMs, known for %s, oldest copy %s%s\n", e.Domain, e.Key, len(e.VMs),
			seconds(e.KnownFor).Round(time.Second), seconds(e.CopyAge).Round(time.Millisecond), keptNote(e.Kept))
		if len(e.Unaware) > 0 {
			c.Printf("evacuated: domain %s is not known to be evacuated on %s\n", e.Domain, strings.Join(e.Unaware, ", "))
		}
	}
}

// printKnownEvacuations prints the evacuations that one node knows of.
func printKnownEvacuations(c *console.Console, list []statusapi.Evacuation) {
	for _, e := range list {
		c.Printf("evacuated: domain %s by key %s, known since %s, copy %s old%s\n", e.Domain, e.Key,
			e.Since.Format(time.RFC3339), time.Duration(e.CopyAgeMS)*time.Millisecond, keptNote(e.Kept))
	}
}

func keptNote(kept bool) string {
	if kept {
		return "; the store was restored without the key"
	}
	return ""
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
