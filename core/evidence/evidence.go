// Package evidence defines the signed statement in which a node reports the release
// that it holds, and the verification of that statement by an audit.
//
// The auditor sends a fresh nonce to each node. The node includes the nonce in the
// statement that it signs, which prevents the replay of an earlier response. The
// statement lists the digests of the configuration in use, recomputed from memory for
// each request, and carries the approved manifest, so that the auditor can verify the
// approval without trusting the node.
package evidence

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
)

// Format is the version of the statement encoding. Check rejects any other value.
const Format = "v1"

// signatureContext is the domain separator of statement signatures: a signature made
// with the same key for another purpose is not valid for a statement.
const signatureContext = "node evidence v1"

// MinNonce and MaxNonce bound the length of a nonce, in bytes.
const (
	MinNonce = 32
	MaxNonce = 128
)

// Statement is what a node reports about its release. Its JSON encoding is the signed
// message.
type Statement struct {
	Format string `json:"format"`
	// Nonce is the nonce that the auditor sent.
	Nonce  string          `json:"nonce"`
	VM     string          `json:"vm"`
	Domain string          `json:"domain"`
	Held   release.Version `json:"held"`
	// Chunks are recomputed from the configuration that is used for requests, not copied
	// from the manifest.
	Chunks []release.ChunkRef `json:"chunks"`
	// Approved is the approved manifest as the node received it.
	Approved []byte `json:"approved"`
	// HeldSince is when the release became active, and At when the statement was made,
	// both by the node's clock.
	HeldSince time.Time `json:"held_since"`
	At        time.Time `json:"at"`
}

// Signed is an encoded statement with the node's signature.
type Signed struct {
	// Statement is the JSON encoding of a Statement, the exact bytes that were signed.
	Statement []byte `json:"statement"`
	// KeyID is the ID of the node's key, which is the ID of its VM.
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// Sign encodes s as JSON and signs it with key, the key of the node's VM.
func Sign(key *release.SigningKey, s *Statement) (*Signed, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("evidence: %w", err)
	}
	return &Signed{Statement: data, KeyID: key.ID, Signature: key.Sign(signatureContext, data)}, nil
}

// ChunksOf encodes each service in s and returns the references of these chunks, in
// the order of s.Services.
func ChunksOf(s *mesh.Snapshot) ([]release.ChunkRef, error) {
	var refs []release.ChunkRef
	for _, svc := range s.Services() {
		data, err := svc.Encode()
		if err != nil {
			return nil, fmt.Errorf("evidence: %w", err)
		}
		refs = append(refs, release.ChunkRef{Name: svc.Name, Digest: release.DigestOf(data), Size: len(data)})
	}
	return refs, nil
}

// CheckNonce returns an error if the length of nonce is not between MinNonce and
// MaxNonce.
func CheckNonce(nonce string) error {
	if len(nonce) < MinNonce || len(nonce) > MaxNonce {
		return fmt.Errorf("nonce has %d characters, expected %d to %d", len(nonce), MinNonce, MaxNonce)
	}
	return nil
}

// Expectation holds the values against which an audit verifies the evidence of one VM.
type Expectation struct {
	// VM is the ID of the VM, which is also the ID of its key.
	VM string
	// Nonce is the nonce that was sent to the node.
	Nonce   string
	Release release.Version
	// Trust holds the keys that may approve a release.
	Trust *release.Trust
	// NodeKeys holds the public keys of the nodes.
	NodeKeys *Keys
}

// Check verifies that the node holds exactly the expected release with a valid
// approval, and returns its statement. If the signature is valid but the content of the
// statement is not as expected, Check returns both the statement and an error.
func (e Expectation) Check(s *Signed) (*Statement, error) {
	if s.KeyID != e.VM {
		return nil, fmt.Errorf("signed with the key of %q", s.KeyID)
	}
	key, known := e.NodeKeys.keys[e.VM]
	if !known {
		return nil, errors.New("no public key of this VM is listed")
	}
	if !release.VerifySignature(key, signatureContext, s.Statement, s.Signature) {
		return nil, errors.New("signature is not valid for the listed key of this VM")
	}
	var st Statement
	if err := json.Unmarshal(s.Statement, &st); err != nil {
		return nil, fmt.Errorf("statement: %w", err)
	}
	return &st, e.checkStatement(&st)
}

// checkStatement compares a statement whose signature is valid with the expectation.
func (e Expectation) checkStatement(st *Statement) error {
	switch {
	case st.Format != Format:
		return fmt.Errorf("statement has format %q, expected %q", st.Format, Format)
	case st.Nonce != e.Nonce:
		return errors.New("statement was signed for another request (nonce differs)")
	case st.VM != e.VM:
		return fmt.Errorf("statement is about VM %q", st.VM)
	case st.Held.IsZero():
		return errors.New("holds no release")
	case st.Held != e.Release:
		return fmt.Errorf("holds release %s, expected %s", st.Held, e.Release)
	}
	return e.checkApproval(st)
}

// checkApproval verifies the approval of the manifest in st, and compares the chunks in
// use with those of the manifest.
func (e Expectation) checkApproval(st *Statement) error {
	approved, err := release.ParseApproved(st.Approved)
	if err != nil {
		return err
	}
	verified, err := e.Trust.Verify(approved)
	if err != nil {
		return err
	}
	if verified.Version != e.Release {
		return fmt.Errorf("approval is for release %s, expected %s", verified.Version, e.Release)
	}
	if !slices.Equal(st.Chunks, verified.Manifest.Chunks) {
		return errors.New("configuration in use differs from the approved manifest")
	}
	return nil
}
