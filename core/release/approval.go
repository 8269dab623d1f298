package release

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// signatureContext is the prefix of the signed bytes. It prevents a signature that the
// same key made for another use from being accepted as an approval.
const signatureContext = "auburnladder release approval v1\n"

// maxApprovals is the maximum number of signatures of one approved manifest.
const maxApprovals = 16

// Approval is one signature over the encoded manifest.
type Approval struct {
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// Approved is an encoded manifest with its approvals: the value published under
// CurrentKey and propagated between nodes.
type Approved struct {
	Manifest  []byte     `json:"manifest"`
	Approvals []Approval `json:"approvals"`
}

// Encode returns the bytes to publish.
func (a *Approved) Encode() ([]byte, error) {
	return json.Marshal(a)
}

// ParseApproved decodes the value published under CurrentKey. It does not verify the
// signatures.
func ParseApproved(data []byte) (*Approved, error) {
	if len(data) > MaxValueBytes {
		return nil, fmt.Errorf("approved manifest: %d bytes, expected at most %d", len(data), MaxValueBytes)
	}
	var a Approved
	if err := decodeStrict(data, &a); err != nil {
		return nil, fmt.Errorf("approved manifest: %w", err)
	}
	if len(a.Approvals) > maxApprovals {
		return nil, fmt.Errorf("approved manifest: %d approvals, expected at most %d", len(a.Approvals), maxApprovals)
	}
	return &a, nil
}

// Version returns the version of the manifest without verifying any approval.
func (a *Approved) Version() (Version, error) {
	m, err := ParseManifest(a.Manifest)
	if err != nil {
		return Version{}, err
	}
	return Version{Sequence: m.Sequence, Digest: DigestOf(a.Manifest)}, nil
}

// Verified is a manifest with a verified approval.
type Verified struct {
	Version  Version
	Manifest *Manifest
	// KeyID is the id of the key that the verified approval is from.
	KeyID    string
	Approved *Approved
}

// Trust is the set of public keys whose approvals are accepted.
type Trust struct {
	keys map[string]ed25519.PublicKey
	// deployment is the only deployment whose releases are accepted; "" accepts all.
	deployment string
}

// NewTrust returns the set of the given public keys, each encoded as "key-id:base64".
// It returns an error for an empty list.
func NewTrust(encoded []string) (*Trust, error) {
	if len(encoded) == 0 {
		return nil, errors.New("trust: no public key given, expected at least one")
	}
	t := &Trust{keys: make(map[string]ed25519.PublicKey, len(encoded))}
	for _, e := range encoded {
		id, key, err := ParsePublicKey(e)
		if err != nil {
			return nil, err
		}
		t.keys[id] = key
	}
	return t, nil
}

// ForDeployment returns a set with the same keys that refuses releases of other
// deployments. An empty name accepts every deployment.
func (t *Trust) ForDeployment(name string) *Trust {
	return &Trust{keys: t.keys, deployment: name}
}

// ParsePublicKey decodes a public key encoded as "key-id:base64" and returns its id
// and the key.
func ParsePublicKey(encoded string) (string, ed25519.PublicKey, error) {
	id, text, found := strings.Cut(strings.TrimSpace(encoded), ":")
	if !found || id == "" {
		return "", nil, fmt.Errorf("public key %q: expected key-id:base64", encoded)
	}
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return "", nil, fmt.Errorf("public key %q: %w", id, err)
	}
	if len(raw) != ed25519.PublicKeySize {
		return "", nil, fmt.Errorf("public key %q: %d bytes, expected %d", id, len(raw), ed25519.PublicKeySize)
	}
	return id, ed25519.PublicKey(raw), nil
}

// Verify checks that a carries a valid approval by a trusted key and belongs to the
// deployment of t.
func (t *Trust) Verify(a *Approved) (*Verified, error) {
	m, err := ParseManifest(a.Manifest)
	if err != nil {
		return nil, err
	}
	return t.verify(m, a)
}

// verify checks the deployment of m and the approvals of a. m is the decoded manifest
// of a.
func (t *Trust) verify(m *Manifest, a *Approved) (*Verified, error) {
	if t.deployment != "" && m.Deployment != t.deployment {
		return nil, fmt.Errorf("release %d: belongs to deployment %q, expected %q", m.Sequence, m.Deployment, t.deployment)
	}
	signed := signedBytes(a.Manifest)
	for _, ap := range a.Approvals {
		key, known := t.keys[ap.KeyID]
		if !known || !ed25519.Verify(key, signed, ap.Signature) {
			continue
		}
		v := Version{Sequence: m.Sequence, Digest: DigestOf(a.Manifest)}
		return &Verified{Version: v, Manifest: m, KeyID: ap.KeyID, Approved: a}, nil
	}
	return nil, fmt.Errorf("release %d: no valid approval by a trusted key", m.Sequence)
}

// SigningKey is an Ed25519 private key with its identifier.
type SigningKey struct {
	ID  string
	key ed25519.PrivateKey
}

// GenerateKey generates a key. The identifier must not be empty and must contain no
// colon, space or line break.
func GenerateKey(id string) (*SigningKey, error) {
	if id == "" || strings.ContainsAny(id, ": \n") {
		return nil, fmt.Errorf("key id %q: expected a name without colons and spaces", id)
	}
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("key %q: %w", id, err)
	}
	return &SigningKey{ID: id, key: key}, nil
}

// ParseSigningKey decodes a private key in the encoding of Private.
func ParseSigningKey(text string) (*SigningKey, error) {
	id, encoded, found := strings.Cut(strings.TrimSpace(text), ":")
	if !found || id == "" {
		return nil, errors.New("signing key: expected key-id:base64")
	}
	seed, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("signing key %q: invalid base64", id)
	}
	if len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("signing key %q: %d bytes, expected %d", id, len(seed), ed25519.SeedSize)
	}
	return &SigningKey{ID: id, key: ed25519.NewKeyFromSeed(seed)}, nil
}

// Private returns the private key as "key-id:base64", to be stored in a file with mode
// 0600.
func (k *SigningKey) Private() string {
	return k.ID + ":" + base64.StdEncoding.EncodeToString(k.key.Seed())
}

// Public returns the public key as "key-id:base64".
func (k *SigningKey) Public() string {
	public := k.key.Public().(ed25519.PublicKey)
	return k.ID + ":" + base64.StdEncoding.EncodeToString(public)
}

// Approve returns a copy of a with a signature of k over its manifest, which replaces an
// earlier approval under the same key id.
func (k *SigningKey) Approve(a *Approved) *Approved {
	approvals := make([]Approval, 0, len(a.Approvals)+1)
	for _, ap := range a.Approvals {
		if ap.KeyID != k.ID {
			approvals = append(approvals, ap)
		}
	}
	sig := ed25519.Sign(k.key, signedBytes(a.Manifest))
	approvals = append(approvals, Approval{KeyID: k.ID, Signature: sig})
	return &Approved{Manifest: a.Manifest, Approvals: approvals}
}

func signedBytes(manifest []byte) []byte {
	return append([]byte(signatureContext), manifest...)
}
