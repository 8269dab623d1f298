package follow

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"auburnladder.example/core/source"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"
	"github.com/klauspost/compress/zstd"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"
)

const (
	// maxCopyBytes is the largest uncompressed size of the items of a copy, and of a value
	// that a patch gives.
	maxCopyBytes = 16 << 20
	// minPatchBytes is the size from which a changed value is sent as a patch of the one
	// before.
	minPatchBytes = 2 << 10
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
		c, renewed := f.copySince(after, !first)
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
		}
	}
}

// copySince returns the changes after a revision, or the whole copy if they are not known, and
// a channel that is closed when the copy has changed or was confirmed. With patch, a changed
// release may be sent as a patch of the one at that revision.
func (f *Follower) copySince(after uint64, patch bool) (*peerpb.SourceCopy, <-chan struct{}) {
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
		c.After, c.Items = f.encodeSinceLocked(after, patch)
	}
	return c, f.renewed
}

// encodeSinceLocked returns the encoded changes after a revision, or the whole copy with base
// 0. The caller holds mu.
func (f *Follower) encodeSinceLocked(after uint64, patch bool) (base uint64, data []byte) {
	if !f.replica.Knows(after) {
		after, patch = 0, false
	}
	key := encodingKey{after: after, revision: f.replica.Revision(), patched: patch}
	if data := f.encoded.find(key); data != nil {
		return after, data
	}
	var old source.Item
	if patch {
		old = f.releases.at(after)
	}
	data = encodeChanges(f.replica.Since(after), old)
	f.encoded.add(key, data)
	return after, data
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

// encodeChanges encodes changes for nodes that hold the item base.
func encodeChanges(changes []source.Change, base source.Item) []byte {
	m := &peerpb.SourceItems{Items: make([]*peerpb.SourceItem, 0, len(changes))}
	for _, ch := range changes {
		item := &peerpb.SourceItem{Key: ch.Key, Revision: ch.Revision, Removed: ch.Removed}
		if ch.Key == base.Key && len(ch.Value) >= minPatchBytes {
			item.Patch, item.Base, item.Sum = diff(base.Value, ch.Value), base.Revision, xxhash.Sum64(ch.Value)
		}
		if item.Patch == nil {
			item.Value, item.Base, item.Sum = ch.Value, 0, 0
		}
		m.Items = append(m.Items, item)
	}
	// Encoding strings, bytes and integers cannot fail.
	data, _ := proto.Marshal(m)
	return s2.Encode(nil, data)
}

// decodeChanges decodes what encodeChanges returns. value returns the local value of a key at a
// revision.
func decodeChanges(data []byte, value func(key string, revision uint64) ([]byte, bool)) ([]source.Change, error) {
	size, err := s2.DecodedLen(data)
	if err != nil {
		return nil, fmt.Errorf("copy of the store: %w", err)
	}
	if size > maxCopyBytes {
		return nil, fmt.Errorf("copy of the store: %d bytes, expected at most %d", size, maxCopyBytes)
	}
	raw, err := s2.Decode(nil, data)
	if err != nil {
		return nil, fmt.Errorf("copy of the store: %w", err)
	}
	var m peerpb.SourceItems
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, fmt.Errorf("copy of the store: %w", err)
	}
	changes := make([]source.Change, len(m.GetItems()))
	for i, p := range m.GetItems() {
		ch := source.Change{Item: source.Item{Key: p.GetKey(), Value: p.GetValue(), Revision: p.GetRevision()}, Removed: p.GetRemoved()}
		if p.GetPatch() != nil {
			if ch.Value, err = patched(p, value); err != nil {
				return nil, fmt.Errorf("copy of the store: %s: %w", p.GetKey(), err)
			}
		}
		changes[i] = ch
	}
	return changes, nil
}

// diff returns value compressed with old as its dictionary, or nil if that fails.
func diff(old, value []byte) []byte {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(patchDictionary, old), zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(patchWindow(len(old)+len(value))), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil
	}
	defer enc.Close()
	return enc.EncodeAll(value, nil)
}

// patchDictionary is the number of the dictionary in a patch; its value has no meaning.
const patchDictionary = 1

// patchWindow returns the size of the window, a power of two, in which the encoder finds all of
// size bytes.
func patchWindow(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < maxCopyBytes {
		window *= 2
	}
	return window
}

// errNoBase reports a patch of a value that this node does not hold.
var errNoBase = errors.New("no value for the patch")

// patched returns the value of an item that was sent as a patch.
func patched(p *peerpb.SourceItem, value func(key string, revision uint64) ([]byte, bool)) ([]byte, error) {
	old, found := value(p.GetKey(), p.GetBase())
	if !found {
		return nil, fmt.Errorf("%w: revision %d", errNoBase, p.GetBase())
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(patchDictionary, old), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxCopyBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	defer dec.Close()
	result, err := dec.DecodeAll(p.GetPatch(), nil)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(result) != p.GetSum() {
		return nil, fmt.Errorf("patch does not give the expected value")
	}
	return result, nil
}
