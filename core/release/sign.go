package release

import "crypto/ed25519"

// Sign signs data for a use other than approval. The context names that use; a
// signature made under one context is not valid under another one.
func (k *SigningKey) Sign(context string, data []byte) []byte {
	return ed25519.Sign(k.key, contextBytes(context, data))
}

// VerifySignature checks a signature that Sign made.
func VerifySignature(key ed25519.PublicKey, context string, data, signature []byte) bool {
	return ed25519.Verify(key, contextBytes(context, data), signature)
}

func contextBytes(context string, data []byte) []byte {
	return append([]byte("auburnladder "+context+"\n"), data...)
}
