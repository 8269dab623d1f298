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
		err := f.callUntilDone(ctx, f.nextCall())
		if errors.Is(err, source.ErrTooManyChanges) {
			f.log.Info().Err(err).Str("event", "changes-skipped").Uint64("revision", f.position().Revision).Msg("reading the configuration as it is now instead of each change")
			err = f.callUntilDone(ctx, f.readLatest)
		}
		if errors.Is(err, source.ErrHistoryLost) || errors.Is(err, source.ErrTooManyChanges) {
			f.log.Warn().Str("event", "history-lost").Uint64("revision", f.position().Revision).Msg("store no longer has the changes since this revision; reading all items")
			err = f.callUntilDone(ctx, f.readAll)
		}
		if err != nil {
			f.recordFailure(err)
			f.backOff(ctx, jitter(backoff))
			backoff = min(2*backoff, f.retryMax())
			continue
		}
		backoff = f.cfg.RetryMin
		f.delayWatch(ctx)
	}
}

// nextCall returns the call that brings the changes since the last one.
func (f *Follower) nextCall() func() error {
	switch {
	case f.position().Revision == 0:
		return f.readAll
	case f.inSeries.Load():
		return f.readLatest
	default:
		return f.watch
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

// backOff waits for a time, but no longer than retryMax is meanwhile.
func (f *Follower) backOff(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for began := time.Now(); ; {
		f.mu.Lock()
		decided := f.decided
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-decided:
			timer.Reset(min(d, f.retryMax()) - time.Since(began))
		}
	}
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

// errEraChanged reports that the store came back from an older copy while its pages were read, or
// that a response is from before then.
var errEraChanged = errors.New("the response of the store is of another era")

// errPageOrder reports a page that ends before the one before it although more follow.
var errPageOrder = errors.New("page of the store does not continue after the key that was asked for")

// readAll reads all pages. The next watch starts at the revision of the first page, so that
// changes made while the pages were read are not missed; some are received twice.
func (f *Follower) readAll() error {
	began := f.boot()
	items, at, err := f.readPages()
	if err != nil {
		return err
	}
	counters.storeReads.Add(1)
	f.recordSuccess()
	came := arrival{via: viaStore, whole: true, bytes: valueBytes(items), received: f.usage(), gc: readGC()}
	f.mu.Lock()
	came.locked = f.usage()
	held := f.replica.Position()
	if at.Era < held.Era {
		f.mu.Unlock()
		return errEraChanged
	}
	f.replaceLocked(time.Now(), items, at)
	f.recordArrivalLocked(came)
	f.machine.StoreRead(began)
	f.renewLocked()
	f.mu.Unlock()
	f.log.Info().Str("event", "store-read").Uint64("era", at.Era).Uint64("revision", at.Revision).
		Uint64("held_era", held.Era).Uint64("held_revision", held.Revision).
		Int("items", len(items)).Msg("all items of the store were read")
	f.applyList()
	return nil
}

func valueBytes(items []source.Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Value)
	}
	return size
}

// readPages returns all items, and the position of the first page.
func (f *Follower) readPages() (items []source.Item, at source.Position, err error) {
	for after := ""; ; {
		page, err := f.store.List(after)
		if err != nil {
			return nil, at, err
		}
		if after == "" {
			at = page.Position()
		}
		if page.Era != at.Era {
			return nil, at, errEraChanged
		}
		f.logUnreadable(page.Unreadable)
		items = append(items, page.Items...)
		if !page.More {
			return items, at, nil
		}
		if len(page.Items) == 0 || page.Items[len(page.Items)-1].Key <= after {
			return nil, at, errPageOrder
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// logUnreadable logs that items of a response could not be read completely.
func (f *Follower) logUnreadable(errs []error) {
	if len(errs) > 0 {
		f.log.Warn().Err(errs[0]).Str("event", "item-unreadable").Int("items", len(errs)).Msg("items of the store could not be read completely; the others are used")
	}
}

// replaceLocked replaces the items by those that the store had at a position, and reports if it
// came back from an older copy. The caller holds mu.
func (f *Follower) replaceLocked(now time.Time, items []source.Item, at source.Position) {
	if held := f.replica.Position(); at.Era > held.Era && held.Revision > 0 {
		f.log.Warn().Str("event", "store-restored").Uint64("era", at.Era).Uint64("revision", at.Revision).
			Uint64("held_era", held.Era).Uint64("held_revision", held.Revision).
			Msg("store came back from an older copy; newer configuration and reports of servers are kept")
	}
	f.replica.Replace(now, items, at)
}

// watch makes one watch call and applies the changes that it returns.
func (f *Follower) watch() error {
	wait := f.watchWait()
	began, after := f.boot(), f.position()
	changes, err := f.store.Watch(after.Revision, wait)
	if err != nil {
		return err
	}
	if changes.Era != after.Era {
		// The revision after which was asked is of the era before: changes may be missing.
		return source.ErrHistoryLost
	}
	f.recordSuccess()
	f.logUnreadable(changes.Unreadable)
	asOf := began
	if len(changes.Changes) == 0 {
		// The store waited in full before it responded.
		asOf += wait
	}
	f.applyChanges(changes, asOf)
	return nil
}

// readLatest reads the release and the evacuations as they are now, and the changes of the servers. Unlike
// watch it does not receive the releases in between. The series of releases has ended when it finds none.
func (f *Follower) readLatest() error {
	began, after := f.boot(), f.position()
	changes, err := f.store.WatchServers(after.Revision, 0)
	if err != nil {
		return err
	}
	// After the servers, so that no entry is from after the position of the copy.
	page, err := f.store.ReadOperator()
	if err != nil {
		return err
	}
	if page.Era != after.Era || changes.Era != after.Era {
		return source.ErrHistoryLost
	}
	found := false
	for _, item := range page.Items {
		switch f.decoder.Kind(item.Key) {
		case source.Release:
			found = true
			f.inSeries.Store(item.Revision > after.Revision)
		case source.Evacuation:
		default:
			continue
		}
		changes.Changes = append(changes.Changes, source.Change{Item: item})
	}
	if !found {
		return source.ErrHistoryLost
	}
	f.mu.Lock()
	changes.Changes = f.replica.CompleteEvacuations(changes.Changes, page.Position())
	f.mu.Unlock()
	changes.Revision = min(changes.Revision, page.Revision)
	f.recordSuccess()
	f.logUnreadable(page.Unreadable)
	f.logUnreadable(changes.Unreadable)
	f.applyChanges(changes, began)
	return nil
}

// applyChanges applies changes of the store that are complete as of a time.
func (f *Follower) applyChanges(changes source.Changes, asOf time.Duration) {
	came := arrival{via: viaStore, received: f.usage(), gc: readGC()}
	for _, ch := range changes.Changes {
		came.bytes += len(ch.Value)
	}
	f.mu.Lock()
	came.locked = f.usage()
	applied := f.replica.Apply(time.Now(), changes)
	f.recordArrivalLocked(came)
	if applied {
		f.machine.StoreRead(min(asOf, f.boot()))
		f.renewLocked()
	}
	f.mu.Unlock()
	f.applyList()
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
	wait := f.machine.WatchWait(f.boot())
	return max(wait-f.receiveTimeLocked(), min(wait, f.cfg.ApplyWithin/minWaitDivisor))
}

const (
	// minWaitDivisor is the divisor of ApplyWithin that gives the shortest wait of a watch.
	minWaitDivisor = 10
	// receiveFactor is how much longer a response may take than on an idle link: requests use up
	// to half of it.
	receiveFactor = 2
	// base64Factor is the size of an encoded value relative to the value.
	base64Factor = 4.0 / 3
)

// receiveTimeLocked returns the time that a response with the release takes. The caller holds mu.
func (f *Follower) receiveTimeLocked() time.Duration {
	item, found := f.replica.Release()
	if !found || f.cfg.LinkRate <= 0 {
		return 0
	}
	seconds := receiveFactor * base64Factor * float64(len(item.Value)) / f.cfg.LinkRate
	return time.Duration(seconds * float64(time.Second))
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
