// Package query reads the state of a node for its operators, whose requests package admin
// serves. It changes nothing; package command does.
package query

import (
	"errors"
	"time"

	"auburnladder.example/core/evidence"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/workload"
	"auburnladder.example/node/state"
)

var (
	// ErrNoRelease reports that the node holds no release yet.
	ErrNoRelease = errors.New("this node holds no release yet")
	// ErrNoKey reports that the node's settings contain no key to sign evidence with.
	ErrNoKey = errors.New("this node cannot sign evidence: node_key is missing in its settings")
)

// Querier serves the operators' queries about one node. Its fields must be set before its
// methods are called; the methods are safe for concurrent use.
type Querier struct {
	State *state.State
	// Now returns the current time of the node.
	Now func() time.Time
	// Journal holds the node's recent actions; may be nil.
	Journal *Journal
	// Key signs evidence; nil if the settings contain none.
	Key *release.SigningKey
	// Tables provides the routing tables, which hold the load and health of servers derived
	// from calls; may be nil.
	Tables Tables
	// Work has the expected work of requests; nil if the node does not learn it.
	Work *workload.Estimator
	// Plan returns where a request of a route would go now, without a side effect; nil if the node forwards
	// no requests.
	Plan func(now time.Time, snapshot *mesh.Snapshot, m *mesh.Match, r workload.Request) statusapi.Plan
	// Stopping reports whether the node has received a stop signal; nil if it never does.
	Stopping func() bool
	// CopyAge returns the age of the copy of a key-value store; nil if the node has none.
	CopyAge func() time.Duration
	// Extend sets the fields of a status that other components of the node provide; may be
	// nil. Status calls it last.
	Extend func(*statusapi.Status)
}

// Status returns the node's identity, held release, membership, recent refusals and conflicts,
// and drain state. Extend may replace the default values of Reader and Server.
func (q *Querier) Status() statusapi.Status {
	id := q.State.Identity
	fleet := q.State.Fleet()
	s := statusapi.Status{
		APIVersion:     statusapi.APIVersion,
		VM:             id.VM,
		Service:        id.Service,
		Domain:         id.Domain,
		Region:         id.Region,
		Now:            q.Now(),
		Reader:         true,
		VMListRevision: fleet.Revision,
		Evacuations:    q.evacuations(fleet),
		Refused:        q.Journal.refusedReleases(),
		Conflicts:      q.Journal.conflicts(),
		Drain:          q.drainState(),
		Server:         statusapi.ServerUnknown,
		Peers:          q.peerStatuses(fleet),
		VMs:            fleet.VMs,
	}
	if held := q.State.Held(); held != nil {
		s.Held = held.Snapshot.Version
		s.KeyID = held.Snapshot.KeyID
		s.HeldSince = held.Since
	}
	if q.Extend != nil {
		q.Extend(&s)
	}
	return s
}

// Ready reports whether the node serves callers: it holds a release, is neither stopping nor
// leaving, and has a server for at least one service.
func (q *Querier) Ready() bool {
	if q.Stopping != nil && q.Stopping() {
		return false
	}
	return q.drainState() == statusapi.DrainServing && q.hasServers()
}

// hasServers reports whether at least one service of the active release has a server in its
// routing table. It is called only if there is an active release.
func (q *Querier) hasServers() bool {
	if q.Tables == nil {
		return true
	}
	for _, svc := range q.State.Snapshot().Services() {
		if t := q.Tables.Table(svc.Name); t != nil && len(t.Endpoints) > 0 {
			return true
		}
	}
	return false
}

// drainState returns whether the node is starting (it holds no release), draining or serving.
func (q *Querier) drainState() statusapi.DrainState {
	switch {
	case q.State.Snapshot() == nil:
		return statusapi.DrainStarting
	case q.State.Leaving():
		return statusapi.DrainDraining
	default:
		return statusapi.DrainServing
	}
}

// Config returns the services and the approved manifest of the active release. It returns
// ErrNoRelease if there is none.
func (q *Querier) Config() (statusapi.Config, error) {
	snap := q.State.Snapshot()
	if snap == nil {
		return statusapi.Config{}, ErrNoRelease
	}
	approved, err := encodeApproved(snap)
	if err != nil {
		return statusapi.Config{}, err
	}
	return statusapi.Config{
		APIVersion: statusapi.APIVersion,
		VM:         q.State.Identity.VM,
		Held:       snap.Version,
		KeyID:      snap.KeyID,
		Services:   snap.Services(),
		Approved:   approved,
	}, nil
}

// encodeApproved returns the encoded approved manifest of snap, or nil if snap has none.
func encodeApproved(snap *mesh.Snapshot) ([]byte, error) {
	if snap.Approved == nil {
		return nil, nil
	}
	return snap.Approved.Encode()
}

// JournalSince returns the journal's entries with a number above after.
func (q *Querier) JournalSince(after uint64) statusapi.Journal {
	entries, dropped := q.Journal.Since(after)
	return statusapi.Journal{
		APIVersion: statusapi.APIVersion,
		VM:         q.State.Identity.VM,
		Dropped:    dropped,
		Entries:    append([]statusapi.JournalEntry{}, entries...),
	}
}

// Evidence returns a signed statement of the held release that includes the auditor's nonce.
// A node without a release signs that it holds none. It returns an error if the nonce is too
// short or too long, and ErrNoKey if there is no key.
func (q *Querier) Evidence(nonce string) (*evidence.Signed, error) {
	if err := evidence.CheckNonce(nonce); err != nil {
		return nil, err
	}
	if q.Key == nil {
		return nil, ErrNoKey
	}
	s := &evidence.Statement{
		Format: evidence.Format,
		Nonce:  nonce,
		VM:     q.State.Identity.VM,
		Domain: q.State.Identity.Domain,
		At:     q.Now(),
	}
	if held := q.State.Held(); held != nil {
		if err := addHeld(s, held); err != nil {
			return nil, err
		}
	}
	return evidence.Sign(q.Key, s)
}

// addHeld adds to s the version, the chunks and the approved manifest of the held release.
func addHeld(s *evidence.Statement, held *state.Held) error {
	s.Held = held.Snapshot.Version
	s.HeldSince = held.Since
	var err error
	if s.Chunks, err = evidence.ChunksOf(held.Snapshot); err != nil {
		return err
	}
	s.Approved, err = encodeApproved(held.Snapshot)
	return err
}
