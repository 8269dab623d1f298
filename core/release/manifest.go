package release

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	// MaxValueBytes bounds every value that the platform's service holds.
	MaxValueBytes = 1 << 20
	// MaxChunks bounds the number of chunks of one release.
	MaxChunks = 4096
	// FormatVersion is the manifest format that this code reads and writes.
	FormatVersion = 1
)

// Keys under which a release is published at the platform's service.
const (
	// CurrentKey holds the approved manifest of the newest release.
	CurrentKey = "auburnladder/release"
	// VMListKey holds the list of live and leaving VMs.
	VMListKey = "platform/vms"
	// ChunkKeyPrefix precedes the digest in the key of a chunk.
	ChunkKeyPrefix = "auburnladder/chunk/"
)

// ChunkKey returns the platform key of the chunk with digest d.
func ChunkKey(d Digest) string {
	return ChunkKeyPrefix + d.String()
}

// ChunkRef names one chunk of a release. Name is the service it describes.
type ChunkRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
	Size   int    `json:"size"`
}

// Manifest lists the content of a release. Its encoded bytes are what is signed.
type Manifest struct {
	Format     int        `json:"format"`
	Deployment string     `json:"deployment"`
	Sequence   uint64     `json:"sequence"`
	Parent     Digest     `json:"parent"`
	Chunks     []ChunkRef `json:"chunks"`
}

// Encode returns the canonical bytes of m. Equal manifests give equal bytes.
func (m *Manifest) Encode() ([]byte, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(m)
}

// Validate checks counts, sizes and order.
func (m *Manifest) Validate() error {
	switch {
	case m.Format != FormatVersion:
		return fmt.Errorf("manifest: format %d, expected %d", m.Format, FormatVersion)
	case m.Sequence == 0:
		return errors.New("manifest: sequence is 0, expected 1 or more")
	case len(m.Chunks) == 0:
		return errors.New("manifest: no chunks")
	case len(m.Chunks) > MaxChunks:
		return fmt.Errorf("manifest: %d chunks, expected at most %d", len(m.Chunks), MaxChunks)
	}
	return validateChunkRefs(m.Chunks)
}

func validateChunkRefs(refs []ChunkRef) error {
	for i, c := range refs {
		if c.Name == "" {
			return fmt.Errorf("manifest: chunk %d has no name", i)
		}
		if c.Size <= 0 || c.Size > MaxValueBytes {
			return fmt.Errorf("manifest: chunk %q has %d bytes, expected 1 to %d", c.Name, c.Size, MaxValueBytes)
		}
		if i > 0 && refs[i-1].Name >= c.Name {
			return fmt.Errorf("manifest: chunk %q is not in ascending order of name", c.Name)
		}
	}
	return nil
}

// ParseManifest decodes and validates the canonical bytes of a manifest.
// Bytes that do not encode back to themselves are refused.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxValueBytes {
		return nil, fmt.Errorf("manifest: %d bytes, expected at most %d", len(data), MaxValueBytes)
	}
	var m Manifest
	if err := decodeStrict(data, &m); err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	canonical, err := m.Encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(canonical, data) {
		return nil, errors.New("manifest: encoding is not canonical")
	}
	return &m, nil
}

// Chunk returns the reference with the given name.
func (m *Manifest) Chunk(name string) (ChunkRef, bool) {
	i, found := slices.BinarySearchFunc(m.Chunks, name, func(c ChunkRef, n string) int {
		return strings.Compare(c.Name, n)
	})
	if !found {
		return ChunkRef{}, false
	}
	return m.Chunks[i], true
}

func decodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("data after the value")
	}
	return nil
}
