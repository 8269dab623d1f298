package follow

import (
	"context"
	"errors"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/core/spread"
)

// readStore watches the store while the decision asks for that. It reads all items first if
// the node holds no copy yet.
func (f *Follower) readStore(ctx context.Context) {
	backoff := f.cfg.RetryMin
	for f.await(ctx, f.wantsStore) {
		call := f.readAll
		if f.revision() > 0 {
			call = f.watch
		}
		err := f.callUntilDone(ctx, call)
		if errors.Is(err, source.ErrHistoryLost) {
			f.log.Warn().Str("event", "history-lost").Uint64("revision", f.revision()).Msg("store no longer has the changes since this revision; reading all items")
			err = f.callUntilDone(ctx, f.readAll)
		}
		if err != nil {
			f.recordFailure(err)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, f.retryMax())
			continue
		}
		backoff = f.cfg.RetryMin
		f.delayWatch(ctx)
	}
}

// retryMax returns the longest backoff after failed calls. Only the root must notice soon that
// the store responds again; the others hear of it from the root.
func (f *Follower) retryMax() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.Reading == ReadByTree && f.decision.Parent != nil {
		return f.cfg.RetryMax * retryFactor
	}
	return f.cfg.RetryMax
}

// retryFactor is how much longer the backoff of a node that has a parent may be.
const retryFactor = 3

func (f *Follower) wantsStore(d *spread.Decision) bool { return d.ReadStore }

// callUntilDone returns the result of call, or the error of ctx if ctx ends first. In that
// case the call continues until its own timeout.
func (f *Follower) callUntilDone(ctx context.Context, call func() error) error {
	result := make(chan error, 1)
	f.calls.Go(func() { result <- call() })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readAll reads all pages. The next watch starts at the revision of the first page, so that
// changes made while the pages were read are not missed; some are received twice.
func (f *Follower) readAll() error {
	var items []source.Item
	var revision, era uint64
	began := f.boot()
	for after := ""; ; {
		page, err := f.store.List(after)
		if err != nil {
			return err
		}
		if after == "" {
			revision, era = page.Revision, page.Era
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	f.recordSuccess()
	f.mu.Lock()
	held := f.replica.Revision()
	f.replica.Replace(time.Now(), items, revision)
	f.machine.StoreRead(began)
	f.renewLocked()
	f.mu.Unlock()
	f.log.Info().Str("event", "store-read").Uint64("era", era).Uint64("revision", revision).Uint64("held_revision", held).
		Int("items", len(items)).Msg("all items of the store were read")
	f.applyReplica()
	return nil
}

// watch makes one watch call and applies the changes that it returns.
func (f *Follower) watch() error {
	wait := f.watchWait()
	began := f.boot()
	changes, err := f.store.Watch(f.revision(), wait)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.mu.Lock()
	f.replica.Apply(time.Now(), changes)
	asOf := began
	if len(changes.Changes) == 0 {
		// The store waited in full before it responded.
		asOf += wait
	}
	f.machine.StoreRead(min(asOf, f.boot()))
	f.renewLocked()
	f.mu.Unlock()
	f.applyReplica()
	return nil
}

// watchWait returns how long the next watch may wait. It is 0 after a failure, so that the copy
// is confirmed without waiting for a change.
func (f *Follower) watchWait() time.Duration {
	if f.failing.Load() {
		return 0
	}
	if f.cfg.Reading == ReadByAll {
		return f.cfg.WatchWait
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.WatchWait(f.boot())
}

// delayWatch waits before the next watch. The first delay keeps the watches that one change
// causes at all nodes within their share of the store's rate. The second one combines the
// changes of a continuous series into fewer calls; it is skipped after an outage, so that
// entries that return are received at once.
func (f *Follower) delayWatch(ctx context.Context) {
	if f.cfg.Reading == ReadByAll {
		sleep(ctx, f.fleetDelay())
	}
	if !f.inReturnGrace() {
		sleep(ctx, f.watchLimiter.Reserve().Delay())
	}
}

// fleetDelay returns the time in which all nodes together may make one call each.
func (f *Follower) fleetDelay() time.Duration {
	nodes := len(f.command.State.Fleet().VMs)
	seconds := float64(nodes) / (f.cfg.ReadShare * f.cfg.ReadsPerSecond)
	return min(time.Duration(seconds*float64(time.Second)), f.cfg.CombineMax)
}

// inReturnGrace reports whether entries that expired during an outage may still return.
func (f *Follower) inReturnGrace() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.InReturnGrace(time.Now())
}

// recordFailure records a failed call, and reports the first one of an outage.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	f.replica.RecordFailure(time.Now())
	f.machine.StoreFailed()
	f.mu.Unlock()
	if !f.failing.Swap(true) {
		f.command.RecordSourceFailure(err)
	}
	f.signalSteer()
}

// recordSuccess records a successful call, and reports the first one after an outage.
func (f *Follower) recordSuccess() {
	f.mu.Lock()
	f.replica.RecordSuccess(time.Now())
	f.mu.Unlock()
	if f.failing.Swap(false) {
		f.command.RecordSourceRecovery()
	}
}
