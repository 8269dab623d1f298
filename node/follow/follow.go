// Package follow keeps a node's configuration and its list of servers equal to a
// key-value store that can be read and watched. While the store does not answer this
// node, it takes newer copies from peers.
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
	// List reads a page of the items after a key, "" for the first page.
	List(after string) (source.Page, error)
	// Watch returns what changed after a revision, or nothing once wait is over. It
	// returns source.ErrHistoryLost if the store no longer knows.
	Watch(after uint64, wait time.Duration) (source.Changes, error)
}

// Config bounds the calls of one node.
type Config struct {
	Replica source.Config
	// WatchWait bounds one watch. Longer costs fewer calls and finds a silent
	// connection later.
	WatchWait time.Duration
	// RetryMin and RetryMax bound the jittered exponential backoff after failed calls.
	RetryMin time.Duration
	RetryMax time.Duration
	// ReadShare is the share of the store's rate that the nodes spend together on one
	// series of changes. A smaller share combines more changes into one call.
	ReadShare float64
	// ReadsPerSecond is the store's rate for all nodes.
	ReadsPerSecond float64
	// CombineMax bounds the time over which these calls are spread.
	CombineMax time.Duration
	// ApplyWithin is the time in which a change must be in force here. In a series of
	// changes, those of a third of it are combined into one call; the rest is for the call
	// itself, the building of a release and requests that are under way.
	ApplyWithin time.Duration
	// PeerInterval is the time between two questions to peers while the store does not
	// answer.
	PeerInterval time.Duration
	// PeersAsked is the number of peers asked at a time.
	PeersAsked int
}

// DefaultConfig finds a silent connection to the store within 3 s.
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
		PeersAsked:     2,
	}
}

const (
	// combineShare is the part of ApplyWithin for which changes of a series are combined,
	// one in this number.
	combineShare = 3
	// combineBurst is the number of calls that are made at once for changes after a
	// quiet time.
	combineBurst = 3
)

// Follower follows one store. Its methods are safe for concurrent use.
type Follower struct {
	cfg     Config
	store   Store
	peers   Peers
	command *command.Commander
	log     zerolog.Logger
	// series paces the calls of a lasting series of changes.
	series *rate.Limiter
	// failing is set while the store does not answer this node.
	failing atomic.Bool
	// calls are the open calls of the store, which may outlive Run.
	calls conc.WaitGroup

	mu      sync.Mutex
	replica *source.Replica
	decoder source.Decoder
	// snapshot is built from the item with revision releaseRevision.
	snapshot        *mesh.Snapshot
	releaseRevision uint64
	listChanges     uint64
}

// New returns a follower. Run starts it.
func New(cfg Config, store Store, d source.Decoder, peers Peers, cmd *command.Commander, log zerolog.Logger) *Follower {
	return &Follower{
		cfg:     cfg,
		store:   store,
		peers:   peers,
		command: cmd,
		log:     log,
		series:  rate.NewLimiter(rate.Every(cfg.ApplyWithin/combineShare), combineBurst),
		replica: source.NewReplica(cfg.Replica, d),
		decoder: d,
	}
}

// Failing reports whether the store gave no answer to the last call of this node.
func (f *Follower) Failing() bool { return f.failing.Load() }

// Run follows the store until ctx ends. Calls that are open then may outlive it.
func (f *Follower) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { f.askPeers(ctx) })
	tasks.Go(func() { f.expire(ctx) })
	complete := false
	wait := f.cfg.RetryMin
	for ctx.Err() == nil {
		next := f.readAll
		if complete {
			next = f.watch
		}
		err := f.unlessDone(ctx, next)
		if errors.Is(err, source.ErrHistoryLost) {
			f.log.Warn().Str("event", "history-lost").Uint64("revision", f.revision()).Msg("store dropped its history; reading all items")
			complete = false
			continue
		}
		if err != nil {
			f.failed(err)
			sleep(ctx, jitter(wait))
			wait = min(2*wait, f.cfg.RetryMax)
			continue
		}
		complete = true
		wait = f.cfg.RetryMin
		f.pace(ctx)
	}
}

// unlessDone returns the result of call, or the error of ctx if that ends first. The
// call then goes on until its own timeout.
func (f *Follower) unlessDone(ctx context.Context, call func() error) error {
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

// readAll reads every page. The revision of the first one is where the watch goes on:
// changes between the pages come once more.
func (f *Follower) readAll() error {
	var items []source.Item
	var first uint64
	for after := ""; ; {
		page, err := f.store.List(after)
		if err != nil {
			return err
		}
		if after == "" {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	f.answered()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Replace(time.Now(), items, first)
	f.publish()
	return nil
}

func (f *Follower) watch() error {
	wait := f.cfg.WatchWait
	if f.failing.Load() {
		// Whether the store answers again is to be known before the next change.
		wait = 0
	}
	changes, err := f.store.Watch(f.revision(), wait)
	if err != nil {
		return err
	}
	f.answered()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Apply(time.Now(), changes)
	f.publish()
	return nil
}

// pace waits before the next watch. The calls that one change causes at all nodes are
// spread over the store's rate. In a lasting series of changes, each call brings those of
// a while; but after an outage, entries that come back are to be seen at once.
func (f *Follower) pace(ctx context.Context) {
	sleep(ctx, f.spread())
	if !f.settling() {
		sleep(ctx, f.series.Reserve().Delay())
	}
}

func (f *Follower) spread() time.Duration {
	nodes := len(f.command.State.Fleet().VMs)
	seconds := float64(nodes) / (f.cfg.ReadShare * f.cfg.ReadsPerSecond)
	return min(time.Duration(seconds*float64(time.Second)), f.cfg.CombineMax)
}

// settling reports whether entries that expired during an outage may still come back.
func (f *Follower) settling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Settling(time.Now())
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	f.replica.Failed(time.Now())
	f.mu.Unlock()
	if !f.failing.Swap(true) {
		f.command.RecordSourceFailure(err)
	}
}

func (f *Follower) answered() {
	f.mu.Lock()
	f.replica.Answered(time.Now())
	f.mu.Unlock()
	if f.failing.Swap(false) {
		f.command.RecordSourceRecovery()
	}
}

// publish puts in force what the replica holds. It needs mu.
func (f *Follower) publish() {
	for _, problem := range f.replica.Problems() {
		f.log.Warn().Err(problem).Str("event", "entry-unreadable").Msg("entry names no server")
	}
	f.publishRelease()
	if f.listChanges == f.replica.ListChanges() {
		return
	}
	f.listChanges = f.replica.ListChanges()
	f.command.ApplyVMList(&vmlist.List{Revision: f.listChanges, VMs: f.replica.VMs()})
}

func (f *Follower) publishRelease() {
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
	f.log.Warn().Err(err).Str("event", "release-refused").Uint64("revision", item.Revision).Msg("configuration is not valid and changes nothing")
}

// expire drops entries that did not come back after an outage.
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
			f.publish()
			f.mu.Unlock()
		}
	}
}

// expireInterval is how late an entry may be dropped.
const expireInterval = 100 * time.Millisecond

// jitter returns a time between half of d and d.
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

var errNotNewer = errors.New("the peer's copy is not newer")
