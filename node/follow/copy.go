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
	f.sendCopies(st, r, f.boot())
	return true
}

// sendCopies sends what is newer than the position in a request, and if that asks for it, each
// further change and confirmation until the stream ends. asked is when the request was received.
func (f *Follower) sendCopies(st *session.Stream, r *peerpb.SourceCopyRequest, asked time.Duration) {
	after, follow := source.Position{Era: r.GetEra(), Revision: r.GetAfter()}, r.GetFollow()
	held := make([]source.Position, len(r.GetReleases()))
	for i, p := range r.GetReleases() {
		held[i] = source.Position{Era: p.GetEra(), Revision: p.GetRevision()}
	}
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
		c, renewed, err := f.copySince(after, held...)
		if err != nil {
			f.recordTooLarge(err)
			f.log.Error().Err(err).Str("event", "peer-copy-not-sent").Msg("copy of the store could not be encoded")
			return
		}
		if first {
			c.HeldUs = c.GetSentUs() - asked.Microseconds()
		}
		began := f.boot()
		if err := st.SendLarge(c, maxMessageBytes, sendTimeout); err != nil {
			f.log.Debug().Err(err).Str("event", "peer-copy-not-sent").Msg("copy of the store could not be sent")
			return
		}
		counters.countSent(c, f.boot()-began)
		if !follow {
			return
		}
		// From now on the other node holds what this stream has sent.
		after, held = positionOf(c), nil
		select {
		case <-renewed:
		case <-ended:
			return
		case <-f.stopped:
			return
		}
	}
}

// copySince returns the changes after a position, or the whole copy if they are not known, and
// a channel that is closed when the copy has changed or was confirmed. A changed release may be sent
// as a patch: of the newest of those that the other node is known to hold, or else of the one at that
// position. A node that holds another one asks for the whole copy.
func (f *Follower) copySince(after source.Position, held ...source.Position) (*peerpb.SourceCopy, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, at := f.boot(), f.replica.Position()
	c := &peerpb.SourceCopy{
		Era:       at.Era,
		Revision:  at.Revision,
		AgeUs:     f.machine.Age(now).Microseconds(),
		SentUs:    now.Microseconds(),
		Unsourced: !f.machine.Sourced(),
		GraceUs:   f.replica.GraceLeft(time.Now()).Microseconds(),
	}
	if at.Compare(after) > 0 {
		var err error
		if c.After, c.Items, err = f.encodeSinceLocked(after, held); err != nil {
			return nil, nil, err
		}
	}
	return c, f.renewed, nil
}

// encodeSinceLocked returns the encoded changes after a position of the present era, of which base
// is the revision, or the whole copy with base 0. The caller holds mu.
func (f *Follower) encodeSinceLocked(after source.Position, held []source.Position) (base uint64, data []byte, err error) {
	if !f.replica.Knows(after) {
		after = source.Position{}
	}
	old := f.releases.common(held)
	if len(held) == 0 {
		old = f.releases.at(after)
	}
	if item, _ := f.replica.Release(); item.Position().Compare(after) <= 0 {
		old = source.Item{}
	}
	key := encodingKey{after: after, at: f.replica.Position(), base: old.Position()}
	if data := f.encoded.find(key); data != nil {
		return after.Revision, data, nil
	}
	began := f.boot()
	if data, err = encodeChanges(f.replica.Since(after), old); err != nil {
		return 0, nil, err
	}
	counters.encodeMicros.Add((f.boot() - began).Microseconds())
	f.encoded.add(key, data)
	return after.Revision, data, nil
}

// applyItemsLocked applies the items of c. The caller holds mu.
func (f *Follower) applyItemsLocked(c *peerpb.SourceCopy, received time.Duration) error {
	after, at := source.Position{Era: c.GetEra(), Revision: c.GetAfter()}, positionOf(c)
	held := f.replica.Position()
	if c.GetAfter() > 0 && (after.Era != held.Era || after.Revision > held.Revision) {
		return errGap
	}
	base := source.Position{}
	changes, err := decodeChanges(c.GetItems(), func(key string, at source.Position) ([]byte, bool) {
		base = at
		return f.baseLocked(key, at)
	})
	if err != nil {
		return err
	}
	now := time.Now()
	if grace := time.Duration(c.GetGraceUs()) * time.Microsecond; grace > 0 && f.machine.Age(received) >= f.cfg.Replica.OutageAfter {
		f.replica.ExtendGrace(now.Add(grace))
	}
	if c.GetAfter() > 0 {
		f.encoded.add(encodingKey{after: after, at: at, base: base}, c.GetItems())
		changes = f.replica.CompleteEvacuations(changes, at)
		f.replica.Apply(now, source.Changes{Changes: changes, Era: at.Era, Revision: at.Revision})
		return nil
	}
	items := make([]source.Item, len(changes))
	for i, ch := range changes {
		items[i] = ch.Item
	}
	f.replaceLocked(now, items, at)
	return nil
}

// baseLocked returns the value of a key as of a position: that of the replica, or of one of the
// latest releases. The caller holds mu.
func (f *Follower) baseLocked(key string, at source.Position) ([]byte, bool) {
	if value, found := f.replica.Value(key, at); found {
		return value, true
	}
	item := f.releases.at(at)
	return item.Value, item.Key == key && item.Position() == at
}

// encodedChanges keeps the latest encoded sets of changes: the nodes that follow this one mostly
// need the same. It is not safe for concurrent use.
type encodedChanges struct {
	sets []encodedSet
}

// encodingKey identifies the encoding of the changes after one position up to another one, in which
// a release is a patch of the one at base, if base is not the zero value.
type encodingKey struct {
	after, at, base source.Position
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

// add adds the release item that the node holds now, and reports whether it was not held before.
func (h *releaseHistory) add(item source.Item) bool {
	if n := len(h.items); n > 0 && h.items[n-1].Position().Compare(item.Position()) >= 0 {
		return false
	}
	h.items = append(h.items, item)
	if len(h.items) > keptReleases {
		h.items = slices.Delete(h.items, 0, len(h.items)-keptReleases)
	}
	return true
}

// positions returns the positions of the releases.
func (h *releaseHistory) positions() []source.Position {
	all := make([]source.Position, len(h.items))
	for i := range h.items {
		all[i] = h.items[i].Position()
	}
	return all
}

// common returns the newest release that is at one of the positions, or an empty item.
func (h *releaseHistory) common(positions []source.Position) source.Item {
	for _, item := range slices.Backward(h.items) {
		if slices.Contains(positions, item.Position()) {
			return item
		}
	}
	return source.Item{}
}

// at returns the release item that a copy as of a position holds, or an empty item if it is not
// known.
func (h *releaseHistory) at(position source.Position) source.Item {
	for _, item := range slices.Backward(h.items) {
		if item.Position().Compare(position) <= 0 {
			return item
		}
	}
	return source.Item{}
}
