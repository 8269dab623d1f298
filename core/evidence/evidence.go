// Package evidence defines the signed statement in which a node says which release
// it holds, and the check that an audit makes of it.
//
// The auditor sends a fresh nonce to each node, and the node signs its statement
// with the nonce in it, so that an answer recorded earlier is worth nothing. The
// statement lists the digests of the configuration in use, computed anew from
// memory, and carries the approved manifest, so that the auditor checks the approval
// without trusting the node.
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

// Format is the version of the statement's encoding.
const Format = "v1"

// signatureContext separates statements from other uses of a node's key.
const signatureContext = "node evidence v1"

// Bounds on the length of a nonce, in characters.
const (
	MinNonce = 32
	MaxNonce = 128
)

// Statement is what a node asserts.
type Statement struct {
	Format string `json:"format"`
	// Nonce repeats the auditor's.
	Nonce  string          `json:"nonce"`
	VM     string          `json:"vm"`
	Domain string          `json:"domain"`
	Held   release.Version `json:"held"`
	// Chunks are computed from the configuration that the request path reads.
	Chunks []release.ChunkRef `json:"chunks"`
	// Approved is the approved manifest as the node received it.
	Approved []byte `json:"approved"`
	// HeldSince and At are by the node's clock.
	HeldSince time.Time `json:"held_since"`
	At        time.Time `json:"at"`
}

// Signed is an encoded statement with the node's signature.
type Signed struct {
	Statement []byte `json:"statement"`
	// KeyID names the node's key; it is the id of the node's VM.
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// Sign encodes and signs s.
func Sign(key *release.SigningKey, s *Statement) (*Signed, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("evidence: %w", err)
	}
	return &Signed{Statement: data, KeyID: key.ID, Signature: key.Sign(signatureContext, data)}, nil
}

// ChunksOf computes the chunk references of the configuration in s.
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

// CheckNonce reports whether a nonce has an accepted length.
func CheckNonce(nonce string) error {
	if len(nonce) < MinNonce || len(nonce) > MaxNonce {
		return fmt.Errorf("nonce has %d characters, expected %d to %d", len(nonce), MinNonce, MaxNonce)
	}
	return nil
}

// Expectation is what an audit requires of one VM.
type Expectation struct {
	VM      string
	Nonce   string
	Release release.Version
	Trust   *release.Trust
	// NodeKeys are the public keys of the nodes.
	NodeKeys *Keys
}

// Check returns the statement in s if the node proves that it holds exactly the
// expected release with a valid approval. With an error that concerns the content,
// it returns the statement too, as far as the signature is valid.
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

func (e Expectation) checkStatement(st *Statement) error {
	switch {
	case st.Format != Format:
		return fmt.Errorf("statement has format %q, expected %q", st.Format, Format)
	case st.Nonce != e.Nonce:
		return errors.New("the answer was made for another question (nonce differs)")
	case st.VM != e.VM:
		return fmt.Errorf("statement is about VM %q", st.VM)
	case st.Held.IsZero():
		return errors.New("holds no release")
	case st.Held != e.Release:
		return fmt.Errorf("holds release %s, expected %s", st.Held, e.Release)
	}
	return e.checkApproval(st)
}

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
