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
	// MaxValueBytes is the maximum size of a value in the platform's key-value service, and so
	// of a chunk that is stored there.
	MaxValueBytes = 1 << 20
	// MaxChunks is the maximum number of chunks of one release.
	MaxChunks = 4096
	// FormatVersion is the manifest format that this code reads and writes.
	FormatVersion = 1
)

// Keys of the platform's key-value service.
const (
	// CurrentKey holds the approved manifest of the newest release.
	CurrentKey = "auburnladder/release"
	// VMListKey holds the VM list: the live and leaving VMs.
	VMListKey = "platform/vms"
	// ChunkKeyPrefix is followed by the digest of a chunk.
	ChunkKeyPrefix = "auburnladder/chunk/"
)

// ChunkKey returns the key under which the chunk with digest d is published.
func ChunkKey(d Digest) string {
	return ChunkKeyPrefix + d.String()
}

// ChunkRef identifies one chunk of a release.
type ChunkRef struct {
	// Name is the service that the chunk configures.
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
	// Size is the length of the chunk in bytes.
	Size int `json:"size"`
}

// Manifest lists the chunks of a release. Approvals are signatures over its encoded
// bytes.
type Manifest struct {
	// Format is FormatVersion.
	Format     int    `json:"format"`
	Deployment string `json:"deployment"`
	// Sequence numbers the releases of a deployment from 1.
	Sequence uint64 `json:"sequence"`
	// Parent is the digest of the manifest that this release follows, zero for the
	// first release.
	Parent Digest `json:"parent"`
	// Chunks are in ascending order of name.
	Chunks []ChunkRef `json:"chunks"`
}

// Encode validates m and returns its canonical bytes. Equal manifests have equal bytes.
func (m *Manifest) Encode() ([]byte, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(m)
}

// EncodeLocal is like Encode for a manifest whose chunks are neither stored nor sent as such. Their
// count and sizes are bounded by the value that the release was decoded from.
func (m *Manifest) EncodeLocal() ([]byte, error) {
	if err := m.validateForm(); err != nil {
		return nil, err
	}
	return json.Marshal(m)
}

// Validate checks the format, the sequence number, and the count, sizes and order of
// the chunks.
func (m *Manifest) Validate() error {
	if err := m.validateForm(); err != nil {
		return err
	}
	if len(m.Chunks) > MaxChunks {
		return fmt.Errorf("manifest: %d chunks, expected at most %d", len(m.Chunks), MaxChunks)
	}
	return validateChunkSizes(m.Chunks)
}

// validateForm checks all but the limits of count and size.
func (m *Manifest) validateForm() error {
	switch {
	case m.Format != FormatVersion:
		return fmt.Errorf("manifest: format %d, expected %d", m.Format, FormatVersion)
	case m.Sequence == 0:
		return errors.New("manifest: sequence is 0, expected 1 or more")
	case len(m.Chunks) == 0:
		return errors.New("manifest: no chunks, expected at least one")
	}
	return validateChunkOrder(m.Chunks)
}

func validateChunkSizes(refs []ChunkRef) error {
	for _, c := range refs {
		if c.Size <= 0 || c.Size > MaxValueBytes {
			return fmt.Errorf("manifest: chunk %q has %d bytes, expected 1 to %d", c.Name, c.Size, MaxValueBytes)
		}
	}
	return nil
}

func validateChunkOrder(refs []ChunkRef) error {
	for i, c := range refs {
		if c.Name == "" {
			return fmt.Errorf("manifest: chunk %d has no name", i)
		}
		if i > 0 && refs[i-1].Name >= c.Name {
			return fmt.Errorf("manifest: chunk %q is not in ascending order of name", c.Name)
		}
	}
	return nil
}

// ParseManifest decodes and validates the canonical bytes of a manifest. It refuses any
// other encoding of the same manifest, because the digest and the approvals depend on
// the bytes.
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

// Chunk returns the reference to the named chunk, and whether m has one.
func (m *Manifest) Chunk(name string) (ChunkRef, bool) {
	i, found := slices.BinarySearchFunc(m.Chunks, name, func(c ChunkRef, n string) int {
		return strings.Compare(c.Name, n)
	})
	if !found {
		return ChunkRef{}, false
	}
	return m.Chunks[i], true
}

// decodeStrict decodes JSON and refuses unknown fields and data after the value.
func decodeStrict(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("data after the value")
	}
	return nil
}
