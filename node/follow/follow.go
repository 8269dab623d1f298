// Package follow keeps a node's configuration and its list of servers in sync with a
// key-value store, which it reads once and then watches. While the store does not respond
// to this node, the node fetches newer copies of the store's items from its peers.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/source"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
)

// Store is the key-value store. Its methods may be called from several goroutines.
type Store interface {
	// List returns the page of items that follows the key after; "" returns the first page.
	List(after string) (source.Page, error)
	// Watch returns the changes after a revision as soon as there are any, and no changes
	// when wait has passed. It returns source.ErrHistoryLost if the store no longer has the
	// changes since that revision.
	Watch(after uint64, wait time.Duration) (source.Changes, error)
}

// Config holds the limits and intervals of a Follower's calls.
type Config struct {
	// Replica configures how removals after an outage of the store are treated.
	Replica source.Config
	// WatchWait is the longest wait of one watch. A longer wait costs fewer calls and
	// detects an unresponsive connection later. Default 2 s.
	WatchWait time.Duration
	// RetryMin and RetryMax bound the jittered exponential backoff after failed calls.
	// Defaults 100 ms and 1 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// ReadShare is the fraction of ReadsPerSecond that all nodes together may use for the
	// watches that follow a change. A smaller fraction delays the watches and combines more
	// changes into one call. Default 0.25.
	ReadShare float64
	// ReadsPerSecond is the rate of reads that the store allows to all nodes together.
	// Default 2000.
	ReadsPerSecond float64
	// CombineMax is the upper limit of the delay of a watch that results from ReadShare.
	// Default 500 ms.
	CombineMax time.Duration
	// ApplyWithin is the time within which this node must apply a change. In a continuous
	// series of changes, those of one third of this time are combined into one call; the
	// rest is left for the call itself, building the release and requests in flight.
	// Default 2 s.
	ApplyWithin time.Duration
	// PeerInterval is the time between two rounds of requests to peers while the store does
	// not respond. Default 250 ms.
	PeerInterval time.Duration
	// PeersPerRound is the number of peers that are queried in one round. Default 2.
	PeersPerRound int
}

// DefaultConfig returns the default settings. They detect an unresponsive connection to
// the store within 3 s.
func DefaultConfig() Config {
	return Config{
		Replica:        source.DefaultConfig(),
		WatchWait:      2 * time.Second,
		RetryMin:       100 * time.Millisecond,
		RetryMax:       time.Second,
		ReadShare:      0.25,
		ReadsPerSecond: 2000,
		CombineMax:     500 * time.Millisecond,
		ApplyWithin:    2 * time.Second,
		PeerInterval:   250 * time.Millisecond,
		PeersPerRound:  2,
	}
}

const (
	// combineDivisor is the divisor of ApplyWithin that gives the time for which the changes
	// of a continuous series are combined into one call.
	combineDivisor = 3
	// combineBurst is the number of watches that may follow each other without that delay
	// after a time without changes.
	combineBurst = 3
)

// Follower keeps one node in sync with one store. Its methods are safe for concurrent use.
type Follower struct {
	cfg     Config
	store   Store
	peers   Peers
	command *command.Commander
	log     zerolog.Logger
	// watchLimiter limits the rate of watches during a continuous series of changes.
	watchLimiter *rate.Limiter
	// failing is set while the store does not respond to this node.
	failing atomic.Bool
	// calls tracks the open calls to the store, which may outlive Run.
	calls conc.WaitGroup

	mu      sync.Mutex
	replica *source.Replica
	decoder source.Decoder
	// snapshot is the active release. releaseRevision is the revision of the last release
	// item that was read; an invalid one leaves snapshot unchanged.
	snapshot        *mesh.Snapshot
	releaseRevision uint64
	// listChanges is the change count of the VM list that was applied last.
	listChanges uint64
}

// New returns a follower that is idle until Run is called.
func New(cfg Config, store Store, d source.Decoder, peers Peers, cmd *command.Commander, log zerolog.Logger) *Follower {
	return &Follower{
		cfg:          cfg,
		store:        store,
		peers:        peers,
		command:      cmd,
		log:          log,
		watchLimiter: rate.NewLimiter(rate.Every(cfg.ApplyWithin/combineDivisor), combineBurst),
		replica:      source.NewReplica(cfg.Replica, d),
		decoder:      d,
	}
}

// Failing reports whether the last call to the store failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// Run keeps the node in sync with the store until ctx ends. Calls to the store that are
// open then may outlive it.
func (f *Follower) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { f.pollPeers(ctx) })
	tasks.Go(func() { f.expire(ctx) })
	synced := false
	backoff := f.cfg.RetryMin
	for ctx.Err() == nil {
		call := f.readAll
		if synced {
			call = f.watch
		}
		err := f.callUntilDone(ctx, call)
		if errors.Is(err, source.ErrHistoryLost) {
			f.log.Warn().Str("event", "history-lost").Uint64("revision", f.revision()).Msg("store no longer has the changes since this revision; reading all items")
			synced = false
			continue
		}
		if err != nil {
			f.recordFailure(err)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, f.cfg.RetryMax)
			continue
		}
		synced = true
		backoff = f.cfg.RetryMin
		f.delayWatch(ctx)
	}
}

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

func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Revision()
}

// readAll reads all pages. The next watch starts at the revision of the first page, so that
// changes made while the pages were read are not missed; some are received twice.
func (f *Follower) readAll() error {
	var items []source.Item
	var revision uint64
	for after := ""; ; {
		page, err := f.store.List(after)
		if err != nil {
			return err
		}
		if after == "" {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	f.recordSuccess()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Replace(time.Now(), items, revision)
	f.applyReplicaLocked()
	return nil
}

// watch makes one watch call and applies the changes that it returns.
func (f *Follower) watch() error {
	wait := f.cfg.WatchWait
	if f.failing.Load() {
		// Returns at once, so that the end of an outage is detected without waiting for
		// the next change.
		wait = 0
	}
	changes, err := f.store.Watch(f.revision(), wait)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Apply(time.Now(), changes)
	f.applyReplicaLocked()
	return nil
}

// delayWatch waits before the next watch. The first delay keeps the watches that one change
// causes at all nodes within their share of the store's rate. The second one combines the
// changes of a continuous series into fewer calls; it is skipped after an outage, so that
// entries that return are received at once.
func (f *Follower) delayWatch(ctx context.Context) {
	sleep(ctx, f.fleetDelay())
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
	f.mu.Unlock()
	if !f.failing.Swap(true) {
		f.command.RecordSourceFailure(err)
	}
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

// applyReplicaLocked applies the replica's release and VM list if they changed. The caller
// holds mu.
func (f *Follower) applyReplicaLocked() {
	for _, problem := range f.replica.DecodeErrors() {
		f.log.Warn().Err(problem).Str("event", "entry-unreadable").Msg("entry of a server could not be decoded; ignoring it")
	}
	f.applyReleaseLocked()
	if f.listChanges == f.replica.ListChanges() {
		return
	}
	f.listChanges = f.replica.ListChanges()
	f.command.ApplyVMList(&vmlist.List{Revision: f.listChanges, VMs: f.replica.VMs()})
}

// applyReleaseLocked applies the replica's release if it is new and valid. The caller holds
// mu.
func (f *Follower) applyReleaseLocked() {
	item, found := f.replica.Item(source.Release)
	if !found || item.Revision == f.releaseRevision {
		return
	}
	f.releaseRevision = item.Revision
	p, err := f.decoder.Release(item.Value)
	if err == nil {
		var snap *mesh.Snapshot
		if snap, err = mesh.BuildPublished(f.snapshot, p); err == nil {
			f.snapshot = snap
			f.command.ApplyRelease(snap)
			return
		}
	}
	f.log.Warn().Err(err).Str("event", "release-refused").Uint64("revision", item.Revision).Msg("configuration is invalid; the active release stays")
}

// expire periodically drops entries that did not return after an outage.
func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			f.replica.Expire(now)
			f.applyReplicaLocked()
			f.mu.Unlock()
		}
	}
}

// expireInterval is the interval of expire. An entry is dropped at most this much late.
const expireInterval = 100 * time.Millisecond

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

var errNotNewer = errors.New("the peer's copy is not newer than the local one")
