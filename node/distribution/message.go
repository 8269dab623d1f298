package distribution

import (
	"fmt"

	"auburnladder.example/core/distribution"
	"auburnladder.example/core/release"
	"auburnladder.example/wire/peerpb"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
)

// prefixBytes is the size of the length prefix of a message on a stream.
const prefixBytes = 4

// messageBytes returns the size of a message on a stream, including its length prefix.
func messageBytes(m proto.Message) int64 {
	return int64(proto.Size(m) + prefixBytes)
}

// versionMessage returns nil for the zero version.
func versionMessage(v release.Version) *peerpb.Version {
	if v.IsZero() {
		return nil
	}
	return &peerpb.Version{Sequence: v.Sequence, Digest: v.Digest[:]}
}

// versionOf returns the zero version if the message is missing or invalid.
func versionOf(m *peerpb.Version) release.Version {
	digest, err := release.DigestFromBytes(m.GetDigest())
	if err != nil {
		return release.Version{}
	}
	return release.Version{Sequence: m.GetSequence(), Digest: digest}
}

func versionsOf(held *peerpb.Version, vmListRevision uint64) distribution.Versions {
	return distribution.Versions{Held: versionOf(held), VMList: vmListRevision}
}

func announceMessage(v distribution.Versions) *peerpb.Announce {
	return &peerpb.Announce{Held: versionMessage(v.Held), VmListRevision: v.VMList}
}

func chunkRequest(digests []release.Digest) *peerpb.Request {
	raw := make([][]byte, len(digests))
	for i := range digests {
		raw[i] = digests[i][:]
	}
	return &peerpb.Request{Kind: &peerpb.Request_Chunks{Chunks: &peerpb.ChunkRequest{Digests: raw}}}
}

func manifestReply(a distribution.ManifestReply) (*peerpb.ManifestReply, error) {
	switch {
	case a.Delta != nil:
		return &peerpb.ManifestReply{Found: true, Delta: deltaMessage(a.Delta)}, nil
	case a.Approved != nil:
		data, err := a.Approved.Encode()
		return &peerpb.ManifestReply{Found: true, Approved: data}, err
	default:
		return &peerpb.ManifestReply{}, nil
	}
}

// manifestReceived converts a reply to an event. An invalid manifest or delta is dropped,
// so that the event carries none.
func manifestReceived(a distribution.FetchManifest, m *peerpb.ManifestReply) distribution.ManifestReceived {
	ev := distribution.ManifestReceived{Fetch: a.Fetch, Peer: a.Peer}
	switch {
	case m.GetDelta() != nil:
		if delta, err := deltaOf(m.GetDelta()); err == nil {
			ev.Delta = delta
		}
	case len(m.GetApproved()) > 0:
		if approved, err := release.ParseApproved(m.GetApproved()); err == nil {
			ev.Approved = approved
		}
	}
	return ev
}

// decompress decodes an S2 block. It returns an error if the content is larger than
// release.MaxValueBytes, without decoding it.
func decompress(block []byte) ([]byte, error) {
	size, err := s2.DecodedLen(block)
	if err != nil {
		return nil, fmt.Errorf("compressed value: %w", err)
	}
	if size > release.MaxValueBytes {
		return nil, fmt.Errorf("compressed value: %d bytes, expected at most %d", size, release.MaxValueBytes)
	}
	data, err := s2.Decode(nil, block)
	if err != nil {
		return nil, fmt.Errorf("compressed value: %w", err)
	}
	return data, nil
}

func deltaMessage(d *release.Delta) *peerpb.ManifestDelta {
	m := &peerpb.ManifestDelta{
		Base:       versionMessage(d.Base),
		Version:    versionMessage(d.Version),
		Parent:     d.Parent[:],
		Removed:    d.Removed,
		Deployment: d.Deployment,
	}
	for i := range d.Changed {
		ref := &d.Changed[i]
		m.Changed = append(m.Changed, &peerpb.ChunkEntry{Name: ref.Name, Digest: ref.Digest[:], Size: uint32(ref.Size)})
	}
	for _, a := range d.Approvals {
		m.Approvals = append(m.Approvals, &peerpb.Approval{KeyId: a.KeyID, Signature: a.Signature})
	}
	return m
}

func deltaOf(m *peerpb.ManifestDelta) (*release.Delta, error) {
	d := &release.Delta{
		Base:       versionOf(m.GetBase()),
		Version:    versionOf(m.GetVersion()),
		Removed:    m.GetRemoved(),
		Deployment: m.GetDeployment(),
	}
	var err error
	if d.Parent, err = release.DigestFromBytes(m.GetParent()); err != nil {
		return nil, err
	}
	for _, c := range m.GetChanged() {
		digest, err := release.DigestFromBytes(c.GetDigest())
		if err != nil {
			return nil, err
		}
		d.Changed = append(d.Changed, release.ChunkRef{Name: c.GetName(), Digest: digest, Size: int(c.GetSize())})
	}
	for _, a := range m.GetApprovals() {
		d.Approvals = append(d.Approvals, release.Approval{KeyID: a.GetKeyId(), Signature: a.GetSignature()})
	}
	return d, d.Validate()
}
