package distribution

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/node/platform"
	"auburnladder.example/node/state"
)

// watcherRetry is the delay before a watcher retries after a failed read or an invalid
// release.
const watcherRetry = 500 * time.Millisecond

// watcher is a node of the baseline. It watches the platform itself and caches chunks.
type watcher struct {
	client *platform.Client
	trust  *release.Trust
	state  *state.State
	chunks map[release.Digest][]byte
	bytes  *atomic.Int64
}

func (w *watcher) run(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		v, err := w.client.Watch(ctx, release.CurrentKey, after)
		if errors.Is(err, platform.ErrUnchanged) {
			continue
		}
		if err == nil {
			w.bytes.Add(int64(len(v.Data)))
			err = w.apply(ctx, v.Data)
		}
		if err != nil {
			sleep(ctx, watcherRetry)
			continue
		}
		after = v.Revision
	}
}

func (w *watcher) apply(ctx context.Context, data []byte) error {
	approved, err := release.ParseApproved(data)
	if err != nil {
		return err
	}
	verified, err := w.trust.Verify(approved)
	if err != nil {
		return err
	}
	for _, ref := range verified.Manifest.Chunks {
		if w.chunks[ref.Digest] != nil {
			continue
		}
		v, err := w.client.Get(ctx, release.ChunkKey(ref.Digest))
		if err != nil {
			return err
		}
		w.bytes.Add(int64(len(v.Data)))
		w.chunks[ref.Digest] = v.Data
	}
	snap, err := mesh.Build(verified, func(d release.Digest) ([]byte, bool) {
		chunk, found := w.chunks[d]
		return chunk, found
	})
	if err != nil {
		return err
	}
	w.state.Install(snap, time.Now())
	return nil
}

// watchKey watches a key and ignores its values. Every node of the baseline needs a second
// watch, for the VM list.
func (w *watcher) watchKey(ctx context.Context, key string) {
	var after uint64
	for ctx.Err() == nil {
		v, err := w.client.Watch(ctx, key, after)
		if err != nil && !errors.Is(err, platform.ErrUnchanged) {
			sleep(ctx, watcherRetry)
			continue
		}
		after = max(after, v.Revision)
	}
}

// measureWatchers measures the baseline in which every node watches the platform itself.
func measureWatchers(s Spec) ([]*row, error) {
	f, err := newFleet(s)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.put(release.VMListKey, []byte("[]")); err != nil {
		return nil, err
	}
	for i := range s.Nodes {
		domain := domainName(i % s.Domains)
		m := &member{state: state.New(state.Identity{Domain: domain})}
		m.vm.Domain = domain
		w := &watcher{
			client: f.client(m.vm), trust: f.builder.trust, state: m.state,
			chunks: make(map[release.Digest][]byte), bytes: &f.net.bytes,
		}
		f.members = append(f.members, m)
		f.tasks.Go(func() { w.run(f.ctx) })
		f.tasks.Go(func() { w.watchKey(f.ctx, release.VMListKey) })
	}
	time.Sleep(time.Second)
	full, err := f.measureFullRelease()
	if err != nil {
		return nil, err
	}
	full.name = "every node watches, whole release"
	changes, err := f.measureIncremental()
	changes.name = "every node watches, one chunk changed"
	return []*row{full, changes}, err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
