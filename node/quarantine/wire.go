package quarantine

import (
	"time"

	"auburnladder.example/core/quarantine"
	"auburnladder.example/wire/peerpb"
)

// toWire converts records to messages with ages in place of times.
func toWire(now time.Duration, records []quarantine.Record) []*peerpb.CrashRecord {
	out := make([]*peerpb.CrashRecord, len(records))
	for i, r := range records {
		out[i] = &peerpb.CrashRecord{Fingerprint: uint64(r.Fingerprint)}
		for _, c := range r.Crashes {
			out[i].Crashes = append(out[i].Crashes, &peerpb.Crash{
				Id:      uint64(c.ID),
				AgeUs:   (now - c.At).Microseconds(),
				Cleared: c.Cleared,
			})
		}
	}
	return out
}

// fromWire converts messages to records. Ages are counted from now.
func fromWire(now time.Duration, records []*peerpb.CrashRecord) []quarantine.Record {
	out := make([]quarantine.Record, len(records))
	for i, r := range records {
		out[i].Fingerprint = quarantine.Fingerprint(r.GetFingerprint())
		for _, c := range r.GetCrashes() {
			age := max(0, time.Duration(c.GetAgeUs())*time.Microsecond)
			out[i].Crashes = append(out[i].Crashes, quarantine.Crash{
				ID:      quarantine.CrashID(c.GetId()),
				At:      now - age,
				Cleared: c.GetCleared(),
			})
		}
	}
	return out
}
