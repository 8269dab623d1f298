// Package membership decides which VMs of the fleet are alive, suspect, dead or
// leaving. It is a SWIM-style failure detector on top of the published VM list.
//
// The published list says which VMs exist; it lags. Probing corrects it: a node
// pings one member per probe interval, asks a few others to ping it when no answer
// comes, suspects it when those fail too, and declares it dead when nobody refuted
// the suspicion in time. Every datagram carries a bounded number of updates. A node
// is the authority on its own state: only it raises its incarnation number and only
// it says that it is leaving.
//
// What is known of a member is a record (incarnation, health, leaving). Records merge
// by the higher incarnation, then by the worse health and by leaving once said. The
// merge is commutative and idempotent, so late, repeated and crossed updates are
// harmless.
//
// # Bytes
//
// Per probe interval a node sends and receives about one ping and one ack. With the
// headers of IP and UDP (28 bytes), the addressing fields (about 50), the sender's held
// release and list revision (about 45) and its own record (about 30) a datagram
// without news has about 155 bytes: 4 x 155 = 620 bytes per interval, whatever the
// number of nodes.
//
// News add at most Config.MaxUpdateBytes to each datagram. While many members change
// at once, as when a failure domain is lost, failed probes add datagrams too: up to
// Config.IndirectProbes + 1 for each probe, the answers to those of others, and at most
// four pings to suspects per interval. That bounds the bytes by the probe interval and
// not by the number of changes; the more there are, the longer they take to spread.
//
// The package is pure: time, randomness and messages come in through Step and
// actions go out. A Machine is used from one goroutine; a View is immutable and may be
// read from any.
package membership
