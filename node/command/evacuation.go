package command

import (
	"expvar"
	"time"

	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/metrics"
	"auburnladder.example/node/state"
)

// evacuationStats holds the counters of evacuations that began and ended at this node.
var evacuationStats = expvar.NewMap("evacuations")

// ApplyEvacuations makes a list, without duplicate domains, the evacuated failure domains, and logs and
// journals each that begins or ends. age is the age of the copy of the store that the list is from.
func (c *Commander) ApplyEvacuations(list []state.Evacuation, age time.Duration) {
	began, ended := c.State.ReplaceEvacuations(list, c.Now())
	for _, e := range began {
		evacuationStats.Add("begun", 1)
		metrics.SetEvacuated(e.Domain, e.Key, e.Since)
		c.Log.Warn().Str("event", "domain-evacuated").Str("domain", e.Domain).Str("key", e.Key).Bool("kept", e.Kept).
			Dur("copy_age_ms", age).Msg("failure domain is evacuated; nothing more is sent to its backend servers")
		c.record(statusapi.JournalEntry{Kind: statusapi.JournalDomainEvacuated, Cause: "domain " + e.Domain + " by key " + e.Key})
	}
	for _, e := range ended {
		evacuationStats.Add("ended", 1)
		metrics.DeleteEvacuated(e.Domain, e.Key)
		c.Log.Warn().Str("event", "domain-restored").Str("domain", e.Domain).Str("key", e.Key).Bool("kept", e.Kept).
			Dur("evacuated_ms", c.Now().Sub(e.Since)).Dur("copy_age_ms", age).
			Msg("evacuation of the failure domain ended; its backend servers get requests again")
		c.record(statusapi.JournalEntry{Kind: statusapi.JournalDomainRestored, Cause: "domain " + e.Domain + ", key " + e.Key})
	}
}
