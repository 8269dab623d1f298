// Package release defines approved configuration releases: their versions, signed
// manifests, content-addressed chunks and approval keys.
package release

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is the SHA-256 digest of a manifest or a chunk.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	return sha256.Sum256(data)
}

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Short returns the first 12 hexadecimal digits, for tables and logs.
func (d Digest) Short() string {
	return hex.EncodeToString(d[:6])
}

// IsZero reports whether d is the zero digest, which means that it is not set.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts exactly 64 hexadecimal
// digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, expected %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("digest: %w", err)
	}
	return nil
}

// DigestFromBytes converts a slice of exactly 32 bytes to a Digest.
func DigestFromBytes(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, fmt.Errorf("digest has %d bytes, expected %d", len(b), len(d))
	}
	copy(d[:], b)
	return d, nil
}

// Version identifies a release. Versions are ordered by sequence number, then by
// manifest digest, so that all nodes order releases alike. The zero Version is older
// than all others.
type Version struct {
	Sequence uint64 `json:"sequence"`
	Digest   Digest `json:"digest"`
}

// Compare returns -1 if v is older than o, 0 if they are equal and +1 if v is newer. The
// order is total.
func (v Version) Compare(o Version) int {
	if c := cmp.Compare(v.Sequence, o.Sequence); c != 0 {
		return c
	}
	return bytes.Compare(v.Digest[:], o.Digest[:])
}

// Newer reports whether v is newer than o.
func (v Version) Newer(o Version) bool {
	return v.Compare(o) > 0
}

// IsZero reports whether v identifies no release.
func (v Version) IsZero() bool {
	return v == Version{}
}

// String returns "sequence@digest" with a shortened digest, or "none" for the zero
// Version.
func (v Version) String() string {
	if v.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d@%s", v.Sequence, v.Digest.Short())
}
