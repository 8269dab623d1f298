// Package distribution brings approved releases and the VM list to this node.
package distribution

import (
	"context"
	"errors"
	"fmt"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/vmlist"
	"auburnladder.example/node/command"
	"auburnladder.example/node/platform"
	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 15 * time.Second
)

// Driver watches the platform's service and applies what it publishes.
type Driver struct {
	Platform *platform.Client
	Trust    *release.Trust
	Command  *command.Commander
	Log      zerolog.Logger
}

// Run watches until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { d.watch(ctx, release.CurrentKey, d.applyRelease) })
	tasks.Go(func() { d.watch(ctx, release.VMListKey, d.applyVMList) })
	tasks.Wait()
}

type applyFunc func(ctx context.Context, v platform.Value) error

func (d *Driver) watch(ctx context.Context, key string, apply applyFunc) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = minRetryDelay
	delay.MaxInterval = maxRetryDelay
	var revision uint64
	for ctx.Err() == nil {
		v, err := d.Platform.Watch(ctx, key, revision)
		if errors.Is(err, platform.ErrUnchanged) {
			continue
		}
		if err == nil {
			err = apply(ctx, v)
		}
		if err != nil {
			d.Log.Warn().Err(err).Str("event", "source-failed").Str("key", key).Msg("platform value not applied")
			sleep(ctx, delay.NextBackOff())
			continue
		}
		revision = max(revision, v.Revision)
		delay.Reset()
	}
}

func (d *Driver) applyRelease(ctx context.Context, v platform.Value) error {
	approved, err := release.ParseApproved(v.Data)
	if err != nil {
		return err
	}
	verified, err := d.Trust.Verify(approved)
	if err != nil {
		if claimed, unreadable := approved.Version(); unreadable == nil {
			d.Command.RefuseRelease(claimed, err)
		}
		return err
	}
	chunks, err := d.fetch(ctx, verified.Manifest)
	if err != nil {
		return err
	}
	snap, err := mesh.Build(verified, func(digest release.Digest) ([]byte, bool) {
		data, found := chunks[digest]
		return data, found
	})
	if err != nil {
		d.Command.RefuseRelease(verified.Version, err)
		return fmt.Errorf("release %s refused: %w", verified.Version, err)
	}
	d.Command.ApplyRelease(snap)
	return nil
}

func (d *Driver) fetch(ctx context.Context, m *release.Manifest) (map[release.Digest][]byte, error) {
	chunks := make(map[release.Digest][]byte, len(m.Chunks))
	for _, ref := range m.Chunks {
		v, err := d.Platform.Get(ctx, release.ChunkKey(ref.Digest))
		if err != nil {
			return nil, fmt.Errorf("chunk %q: %w", ref.Name, err)
		}
		chunks[ref.Digest] = v.Data
	}
	return chunks, nil
}

func (d *Driver) applyVMList(_ context.Context, v platform.Value) error {
	list, err := vmlist.Parse(v.Data, v.Revision)
	if err != nil {
		return err
	}
	d.Command.ApplyVMList(list)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
