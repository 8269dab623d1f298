package evidence

import (
	"crypto/ed25519"
	"fmt"

	"auburnladder.example/core/release"
)

// Keys are the public keys of nodes by the id of their VM.
type Keys struct {
	keys map[string]ed25519.PublicKey
}

// NewKeys decodes public keys, each "vm-id:base64".
func NewKeys(encoded []string) (*Keys, error) {
	k := &Keys{keys: make(map[string]ed25519.PublicKey, len(encoded))}
	for _, e := range encoded {
		id, key, err := release.ParsePublicKey(e)
		if err != nil {
			return nil, fmt.Errorf("node keys: %w", err)
		}
		if _, twice := k.keys[id]; twice {
			return nil, fmt.Errorf("node keys: VM %q has two keys", id)
		}
		k.keys[id] = key
	}
	return k, nil
}
