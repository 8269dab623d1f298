package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies what a request asks for. Requests that ask for the same have the same
// fingerprint at all nodes; different ones share a fingerprint with a probability of about
// one in 2^64. 0 means unknown.
type Fingerprint uint64

// String returns the form used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of a request of caller to the host.
func FingerprintOf(caller, method, host, uri string, body []byte) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{caller, method, host, uri} {
		writeUint(h, uint64(len(part)))
		// Writes to an xxhash.Digest never fail.
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(body)
	return Fingerprint(max(1, h.Sum64()))
}

// crashHash returns a hash of one crash of a record, without its time.
func crashHash(fp Fingerprint, c Crash) uint64 {
	h := xxhash.New()
	writeUint(h, uint64(fp))
	writeUint(h, uint64(c.ID))
	if c.Cleared {
		writeUint(h, 1)
	}
	return h.Sum64()
}

// writeUint adds a number to a hash.
func writeUint(h *xxhash.Digest, n uint64) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], n)
	_, _ = h.Write(buf[:])
}
