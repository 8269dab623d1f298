package release

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Delta holds the differences from which the approved manifest of Version is rebuilt,
// given the manifest of Base. It omits chunks that are equal in both.
type Delta struct {
	Base       Version
	Version    Version
	Parent     Digest
	Deployment string
	// Changed lists new and changed chunks, Removed the names of removed chunks. Both are
	// in ascending order of name.
	Changed   []ChunkRef
	Removed   []string
	Approvals []Approval
}

// NewDelta returns the delta from base to target.
func NewDelta(base, target *Verified) *Delta {
	d := &Delta{
		Base:       base.Version,
		Version:    target.Version,
		Parent:     target.Manifest.Parent,
		Deployment: target.Manifest.Deployment,
		Approvals:  target.Approved.Approvals,
	}
	for _, ref := range target.Manifest.Chunks {
		if old, found := base.Manifest.Chunk(ref.Name); !found || old != ref {
			d.Changed = append(d.Changed, ref)
		}
	}
	for _, ref := range base.Manifest.Chunks {
		if _, found := target.Manifest.Chunk(ref.Name); !found {
			d.Removed = append(d.Removed, ref.Name)
		}
	}
	return d
}

// Validate checks counts, sizes and order.
func (d *Delta) Validate() error {
	switch {
	case len(d.Changed) > MaxChunks:
		return fmt.Errorf("manifest delta: %d changed chunks, expected at most %d", len(d.Changed), MaxChunks)
	case len(d.Removed) > MaxChunks:
		return fmt.Errorf("manifest delta: %d removed chunks, expected at most %d", len(d.Removed), MaxChunks)
	case len(d.Approvals) > maxApprovals:
		return fmt.Errorf("manifest delta: %d approvals, expected at most %d", len(d.Approvals), maxApprovals)
	case !slices.IsSorted(d.Removed):
		return errors.New("manifest delta: removed chunks are not in ascending order of name")
	}
	if err := validateChunkSizes(d.Changed); err != nil {
		return err
	}
	return validateChunkOrder(d.Changed)
}

// Apply rebuilds the approved manifest of d.Version from base. It returns an error if
// the digest of the rebuilt bytes differs from that of the version. It does not verify
// the approvals.
func (d *Delta) Apply(base *Verified) (*Approved, error) {
	_, approved, err := d.rebuild(base)
	return approved, err
}

// VerifyDelta rebuilds the manifest of d.Version from base and verifies its approvals as
// Verify does.
func (t *Trust) VerifyDelta(base *Verified, d *Delta) (*Verified, error) {
	m, approved, err := d.rebuild(base)
	if err != nil {
		return nil, err
	}
	return t.verify(m, approved)
}

func (d *Delta) rebuild(base *Verified) (*Manifest, *Approved, error) {
	if err := d.Validate(); err != nil {
		return nil, nil, err
	}
	if base.Version != d.Base {
		return nil, nil, fmt.Errorf("manifest delta: base is %s, expected %s", base.Version, d.Base)
	}
	m := &Manifest{
		Format:     FormatVersion,
		Deployment: d.Deployment,
		Sequence:   d.Version.Sequence,
		Parent:     d.Parent,
		Chunks:     d.merge(base.Manifest.Chunks),
	}
	encoded, err := m.Encode()
	if err != nil {
		return nil, nil, fmt.Errorf("manifest delta to %s: %w", d.Version, err)
	}
	if DigestOf(encoded) != d.Version.Digest {
		return nil, nil, fmt.Errorf("manifest delta to %s: digest of the rebuilt manifest differs from that of the version", d.Version)
	}
	return m, &Approved{Manifest: encoded, Approvals: d.Approvals}, nil
}

// merge returns the chunks of base with the changes of d applied, in order of name.
func (d *Delta) merge(base []ChunkRef) []ChunkRef {
	merged := make([]ChunkRef, 0, len(base)+len(d.Changed))
	merged = append(merged, d.Changed...)
	for _, ref := range base {
		_, removed := slices.BinarySearch(d.Removed, ref.Name)
		if !removed && !d.isChanged(ref.Name) {
			merged = append(merged, ref)
		}
	}
	slices.SortFunc(merged, func(a, b ChunkRef) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

// isChanged reports whether d.Changed has a chunk with the name.
func (d *Delta) isChanged(name string) bool {
	_, found := slices.BinarySearchFunc(d.Changed, name, func(c ChunkRef, n string) int {
		return strings.Compare(c.Name, n)
	})
	return found
}
