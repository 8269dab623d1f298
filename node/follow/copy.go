package follow

import (
	"slices"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/sourcegraph/conc"
)

const (
	// keptReleases is the number of release items that are kept as bases of patches.
	keptReleases = 4
	// keptEncodings is the number of encoded sets of changes that are kept for further nodes.
	keptEncodings = 4
)

// ServeStream replies to a peer's request for a copy. It returns false if req is another
// kind of request. It runs on the goroutine of the stream.
func (f *Follower) ServeStream(req *peerpb.Request, st *session.Stream) bool {
	r := req.GetSourceCopy()
	if r == nil {
		return false
	}
	f.sendCopies(st, r.GetAfter(), r.GetFollow())
	return true
}

// sendCopies sends what is newer than a revision, and if follow is set, each further change
// and confirmation until the stream ends.
func (f *Follower) sendCopies(st *session.Stream, after uint64, follow bool) {
	ended := make(chan struct{})
	if follow {
		var watcher conc.WaitGroup
		defer watcher.Wait()
		defer st.SetDeadline(pastDeadline)
		watcher.Go(func() {
			defer close(ended)
			st.AwaitEnd()
		})
	}
	for first := true; ; first = false {
		// Only of what this stream has sent is it known that the node holds it.
		c, renewed, err := f.copySince(after, !first)
		if err != nil {
			f.log.Error().Err(err).Str("event", "peer-copy-not-sent").Msg("copy of the store could not be encoded")
			return
		}
		st.SetWriteDeadline(time.Now().Add(sendTimeout))
		if err := st.Send(c); err != nil {
			f.log.Debug().Err(err).Str("event", "peer-copy-not-sent").Msg("copy of the store could not be sent")
			return
		}
		if !follow {
			return
		}
		after = c.GetRevision()
		select {
		case <-renewed:
		case <-ended:
			return
		case <-f.stopped:
			return
		}
	}
}

// copySince returns the changes after a revision, or the whole copy if they are not known, and
// a channel that is closed when the copy has changed or was confirmed. With patch, a changed
// release may be sent as a patch of the one at that revision.
func (f *Follower) copySince(after uint64, patch bool) (*peerpb.SourceCopy, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.boot()
	c := &peerpb.SourceCopy{
		Revision:  f.replica.Revision(),
		AgeUs:     f.machine.Age(now).Microseconds(),
		SentUs:    now.Microseconds(),
		Unsourced: !f.machine.Sourced(),
		GraceUs:   f.replica.GraceLeft(time.Now()).Microseconds(),
	}
	if c.Revision > after {
		var err error
		if c.After, c.Items, err = f.encodeSinceLocked(after, patch); err != nil {
			return nil, nil, err
		}
	}
	return c, f.renewed, nil
}

// encodeSinceLocked returns the encoded changes after a revision, or the whole copy with base
// 0. The caller holds mu.
func (f *Follower) encodeSinceLocked(after uint64, patch bool) (base uint64, data []byte, err error) {
	if !f.replica.Knows(after) {
		after, patch = 0, false
	}
	key := encodingKey{after: after, revision: f.replica.Revision(), patched: patch}
	if data := f.encoded.find(key); data != nil {
		return after, data, nil
	}
	var old source.Item
	if patch {
		old = f.releases.at(after)
	}
	if data, err = encodeChanges(f.replica.Since(after), old); err != nil {
		return 0, nil, err
	}
	f.encoded.add(key, data)
	return after, data, nil
}

// applyItemsLocked applies the items of c. The caller holds mu.
func (f *Follower) applyItemsLocked(c *peerpb.SourceCopy, received time.Duration) error {
	if c.GetAfter() > f.replica.Revision() {
		return errGap
	}
	changes, err := decodeChanges(c.GetItems(), f.replica.Value)
	if err != nil {
		return err
	}
	now := time.Now()
	if grace := time.Duration(c.GetGraceUs()) * time.Microsecond; grace > 0 && f.machine.Age(received) >= f.cfg.Replica.OutageAfter {
		f.replica.ExtendGrace(now.Add(grace))
	}
	if c.GetAfter() > 0 {
		f.encoded.add(encodingKey{after: c.GetAfter(), revision: c.GetRevision(), patched: true}, c.GetItems())
		f.replica.Apply(now, source.Changes{Changes: changes, Revision: c.GetRevision()})
		return nil
	}
	items := make([]source.Item, len(changes))
	for i, ch := range changes {
		items[i] = ch.Item
	}
	f.replica.Replace(now, items, c.GetRevision())
	return nil
}

// encodedChanges keeps the latest encoded sets of changes: the nodes that follow this one mostly
// need the same. It is not safe for concurrent use.
type encodedChanges struct {
	sets []encodedSet
}

// encodingKey identifies the encoding of the changes after one revision up to another one.
// patched is set if a value may be a patch.
type encodingKey struct {
	after, revision uint64
	patched         bool
}

type encodedSet struct {
	key  encodingKey
	data []byte
}

func (e *encodedChanges) find(key encodingKey) []byte {
	for _, s := range e.sets {
		if s.key == key {
			return s.data
		}
	}
	return nil
}

func (e *encodedChanges) add(key encodingKey, data []byte) {
	if e.find(key) != nil {
		return
	}
	e.sets = append(e.sets, encodedSet{key: key, data: data})
	if len(e.sets) > keptEncodings {
		e.sets = slices.Delete(e.sets, 0, len(e.sets)-keptEncodings)
	}
}

// releaseHistory holds the latest release items, oldest first. It is not safe for concurrent
// use.
type releaseHistory struct {
	items []source.Item
}

// add adds the release item that the node holds now.
func (h *releaseHistory) add(item source.Item) {
	if n := len(h.items); n > 0 && h.items[n-1].Revision >= item.Revision {
		return
	}
	h.items = append(h.items, item)
	if len(h.items) > keptReleases {
		h.items = slices.Delete(h.items, 0, len(h.items)-keptReleases)
	}
}

// at returns the release item that a copy as of a revision holds, or an empty item if it is not
// known.
func (h *releaseHistory) at(revision uint64) source.Item {
	for _, item := range slices.Backward(h.items) {
		if item.Revision <= revision {
			return item
		}
	}
	return source.Item{}
}
