package distribution

import (
	"errors"

	"auburnladder.example/core/distribution"
	"auburnladder.example/node/platform"
)

// readSource makes one call to the platform and passes the outcome to the state machine.
func (d *Driver) readSource(a distribution.ReadSource) {
	d.metrics.sourceCalls.Add(1)
	var v platform.Value
	var err error
	if a.Wait {
		v, err = d.platform.Watch(d.ctx, a.Key, a.After)
	} else {
		v, err = d.platform.Get(d.ctx, a.Key)
	}
	d.metrics.sourceBytes.Add(int64(len(v.Data)))
	ev := distribution.SourceValue{Call: a.Call, Key: a.Key, Revision: v.Revision, Value: v.Data}
	switch {
	case err == nil:
		ev.Found = true
	case errors.Is(err, platform.ErrUnchanged):
		ev.Unchanged = true
	case errors.Is(err, platform.ErrNotFound):
	default:
		d.log.Debug().Err(err).Str("event", "source-failed").Str("key", a.Key).Msg("call to the platform failed")
		d.metrics.sourceFailures.Add(1)
		if d.ctx.Err() == nil && d.outage.recordFailure() {
			d.command.RecordSourceFailure(err)
		}
		d.step(distribution.SourceFailed{Call: a.Call, Key: a.Key})
		return
	}
	if d.outage.recordSuccess() {
		d.command.RecordSourceRecovery()
	}
	d.step(ev)
}
