// Package release defines approved configuration releases: their version, the
// signed manifest, the content-addressed chunks and the keys that approve them.
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

// IsZero reports whether the digest was never set.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, expected %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("digest: %w", err)
	}
	return nil
}

// DigestFromBytes converts a slice of exactly 32 bytes.
func DigestFromBytes(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, fmt.Errorf("digest has %d bytes, expected %d", len(b), len(d))
	}
	copy(d[:], b)
	return d, nil
}

// Version identifies a release and orders releases by content alone: by sequence
// number first, then by manifest digest. The zero Version precedes all others.
type Version struct {
	Sequence uint64 `json:"sequence"`
	Digest   Digest `json:"digest"`
}

// Compare returns -1, 0 or +1. It is a total order.
func (v Version) Compare(o Version) int {
	if c := cmp.Compare(v.Sequence, o.Sequence); c != 0 {
		return c
	}
	return bytes.Compare(v.Digest[:], o.Digest[:])
}

// Newer reports whether v comes after o.
func (v Version) Newer(o Version) bool {
	return v.Compare(o) > 0
}

// IsZero reports whether v identifies no release.
func (v Version) IsZero() bool {
	return v == Version{}
}

// String returns "sequence@digest" with a shortened digest.
func (v Version) String() string {
	if v.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d@%s", v.Sequence, v.Digest.Short())
}
