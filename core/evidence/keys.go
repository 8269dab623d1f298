package evidence

import (
	"crypto/ed25519"
	"fmt"

	"auburnladder.example/core/release"
)

// Keys holds the public keys of nodes. It is read-only after NewKeys and safe for
// concurrent use.
type Keys struct {
	// keys is indexed by VM ID.
	keys map[string]ed25519.PublicKey
}

// NewKeys decodes public keys, each in the form "vm-id:base64". A malformed key or a
// second key for a VM is an error.
func NewKeys(encoded []string) (*Keys, error) {
	k := &Keys{keys: make(map[string]ed25519.PublicKey, len(encoded))}
	for _, e := range encoded {
		id, key, err := release.ParsePublicKey(e)
		if err != nil {
			return nil, fmt.Errorf("node keys: %w", err)
		}
		if _, duplicate := k.keys[id]; duplicate {
			return nil, fmt.Errorf("node keys: duplicate key for VM %q", id)
		}
		k.keys[id] = key
	}
	return k, nil
}
