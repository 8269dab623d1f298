package distribution

import (
	"time"

	"auburnladder.example/core/distribution"
	"auburnladder.example/core/release"
	"auburnladder.example/wire/peerpb"
	"auburnladder.example/wire/session"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
)

// maxServedChunks is the largest number of chunks in one request; a larger request gets no
// reply.
const maxServedChunks = 1024

// ServeStream replies to a request from the peer with the given VM id. It returns false,
// with no deadline set on the stream, if the request is not one of configuration
// distribution.
func (d *Driver) ServeStream(from string, req *peerpb.Request, st *session.Stream) bool {
	st.SetDeadline(time.Now().Add(requestTimeout))
	switch {
	case req.GetAnnounce() != nil:
		d.serveAnnounce(from, req.GetAnnounce(), st)
	case req.GetHello() != nil:
		h := req.GetHello()
		d.send(st, &d.metrics.exchange, d.hello())
		d.step(distribution.PeerVersions{Peer: from, Versions: versionsOf(h.GetHeld(), h.GetVmListRevision())})
	case req.GetManifest() != nil:
		d.serveManifest(req.GetManifest(), st)
	case req.GetChunks() != nil:
		d.serveChunks(req.GetChunks(), st)
	case req.GetVmList() != nil:
		d.serveVMList(st)
	default:
		st.SetDeadline(time.Time{})
		return false
	}
	return true
}

// send writes a reply and reports whether that succeeded. A failure is not logged: the
// peer repeats its request to another node.
func (d *Driver) send(st *session.Stream, kind *byteCounters, m proto.Message) bool {
	kind.sent.Add(messageBytes(m))
	return st.Send(m) == nil
}

func (d *Driver) serveAnnounce(from string, a *peerpb.Announce, st *session.Stream) {
	d.metrics.announce.received.Add(messageBytes(a))
	d.mu.Lock()
	v := d.machine.Versions()
	d.mu.Unlock()
	d.send(st, &d.metrics.announce, announceMessage(v))
	d.step(distribution.PeerVersions{
		Peer:      from,
		Versions:  versionsOf(a.GetHeld(), a.GetVmListRevision()),
		Neighbour: true,
	})
}

func (d *Driver) serveManifest(req *peerpb.ManifestRequest, st *session.Stream) {
	d.metrics.manifest.received.Add(messageBytes(req))
	wanted, base := versionOf(req.GetWanted()), versionOf(req.GetBase())
	d.mu.Lock()
	manifest := d.machine.Manifest(wanted, base)
	d.mu.Unlock()
	reply, err := manifestReply(manifest)
	if err != nil {
		d.log.Error().Err(err).Str("event", "manifest-not-sent").Stringer("release", wanted).Msg("manifest could not be encoded; the peer gets no reply")
		return
	}
	d.send(st, &d.metrics.manifest, reply)
}

func (d *Driver) serveChunks(req *peerpb.ChunkRequest, st *session.Stream) {
	d.metrics.chunks.received.Add(messageBytes(req))
	if len(req.GetDigests()) > maxServedChunks {
		return
	}
	for _, raw := range req.GetDigests() {
		reply := &peerpb.ChunkReply{Digest: raw}
		digest, err := release.DigestFromBytes(raw)
		if err == nil {
			d.mu.Lock()
			reply.Data, reply.Found = d.machine.Chunk(digest)
			d.mu.Unlock()
		}
		if !d.send(st, &d.metrics.chunks, reply) {
			return
		}
	}
}

func (d *Driver) serveVMList(st *session.Stream) {
	d.mu.Lock()
	revision, list := d.machine.VMList()
	d.mu.Unlock()
	d.send(st, &d.metrics.vmList, &peerpb.VMListReply{Revision: revision, List: s2.Encode(nil, list)})
}
