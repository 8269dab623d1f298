package release

import "crypto/ed25519"

// Sign signs data for a use other than approval. The context names that use: a
// signature is valid only under the context that it was made for.
func (k *SigningKey) Sign(context string, data []byte) []byte {
	return ed25519.Sign(k.key, contextBytes(context, data))
}

// VerifySignature reports whether signature is a signature by Sign over data under the
// context.
func VerifySignature(key ed25519.PublicKey, context string, data, signature []byte) bool {
	return ed25519.Verify(key, contextBytes(context, data), signature)
}

// contextBytes returns the bytes that are signed: the context, followed by data.
func contextBytes(context string, data []byte) []byte {
	return append([]byte("auburnladder "+context+"\n"), data...)
}
