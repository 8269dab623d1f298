package follow

import (
	"errors"
	"fmt"

	"auburnladder.example/core/source"
	"auburnladder.example/wire/peerpb"
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
)

const (
	// maxCopyBytes is the largest uncompressed size of the items of a copy, and of a value
	// that a patch gives. It holds a release of source.MaxReleaseBytes and the entries of 2,500
	// servers with 2 KiB each.
	maxCopyBytes = 8 << 20
	// maxMessageBytes is the largest message with a copy, compressed.
	maxMessageBytes = maxCopyBytes + 64<<10
	// minPatchBytes is the size from which a changed value is sent as a patch of the one
	// before.
	minPatchBytes = 2 << 10
)

// encodeChanges encodes changes for nodes that hold the item base.
func encodeChanges(changes []source.Change, base source.Item) ([]byte, error) {
	m := &peerpb.SourceItems{Items: make([]*peerpb.SourceItem, 0, len(changes))}
	for _, ch := range changes {
		item := &peerpb.SourceItem{Key: ch.Key, Era: ch.Era, Revision: ch.Revision, Removed: ch.Removed}
		if ch.Key == base.Key && len(ch.Value) >= minPatchBytes {
			item.Patch = diff(base.Value, ch.Value)
		}
		if item.Patch == nil {
			item.Value = ch.Value
		} else {
			item.Base, item.BaseEra, item.Sum = base.Revision, base.Era, xxhash.Sum64(ch.Value)
		}
		m.Items = append(m.Items, item)
	}
	data, err := proto.Marshal(m)
	if err == nil {
		err = checkCopySize(len(data))
	}
	if err != nil {
		return nil, fmt.Errorf("copy of the store: %w", err)
	}
	return s2.Encode(nil, data), nil
}

// checkCopySize returns an error for items of more than maxCopyBytes.
func checkCopySize(size int) error {
	if size <= maxCopyBytes {
		return nil
	}
	return &source.TooLargeError{Limit: "peer_copy", Bytes: size, Max: maxCopyBytes}
}

// localValue returns the local value of a key if its last change was at a position.
type localValue func(key string, at source.Position) ([]byte, bool)

// decodeChanges decodes what encodeChanges returns.
func decodeChanges(data []byte, value localValue) ([]source.Change, error) {
	size, err := s2.DecodedLen(data)
	if err == nil {
		err = checkCopySize(size)
	}
	if err != nil {
		return nil, fmt.Errorf("copy of the store: %w", err)
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
		item := source.Item{Key: p.GetKey(), Value: p.GetValue(), Era: p.GetEra(), Revision: p.GetRevision()}
		ch := source.Change{Item: item, Removed: p.GetRemoved()}
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
func patched(p *peerpb.SourceItem, value localValue) ([]byte, error) {
	base := source.Position{Era: p.GetBaseEra(), Revision: p.GetBase()}
	old, found := value(p.GetKey(), base)
	if !found {
		return nil, fmt.Errorf("%w: revision %d of era %d", errNoBase, base.Revision, base.Era)
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
