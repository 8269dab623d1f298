// Package membership determines which VMs of the fleet are alive, suspect, dead or
// leaving. It is a SWIM-style failure detector on top of the published VM list.
//
// The published list defines which VMs exist, but it lags behind the actual state of
// the fleet. Probing corrects it: a node pings one member per probe interval, sends
// indirect probes through a few other members if it receives no ack, suspects the
// target if those fail too, and declares it dead if the suspicion is not refuted in
// time. Updates are piggybacked on every datagram, up to a fixed size. A node is
// authoritative for its own state: only the node itself raises its incarnation number
// and announces that it is leaving.
//
// The state of a member is a record (incarnation, health, leaving). Records merge by
// the higher incarnation; at equal incarnations the worse health wins and leaving, once
// set, stays set. The merge is commutative and idempotent, so delayed, duplicated and
// reordered updates are harmless.
//
// # Bandwidth
//
// Per probe interval a node sends and receives about one ping and one ack. A datagram
// without piggybacked updates has about 155 bytes: IP and UDP headers (28 bytes), the
// addressing fields (about 50), the sender's held release and list revision (about 45)
// and its own record (about 30). This gives 4 x 155 = 620 bytes per interval,
// independent of the number of nodes.
//
// Updates add at most Config.MaxUpdateBytes to each datagram. When many members change
// at once, for example when a failure domain is lost, failed probes add datagrams too:
// up to Config.IndirectProbes + 1 per probe, the replies to the indirect probes of other
// nodes, and at most four pings to suspects per interval. Traffic is therefore bounded
// by the probe interval and not by the number of changes; more changes take longer to
// disseminate.
//
// The package is pure: time, randomness and messages are passed in through New and
// Step, and Step returns the actions to execute. A Machine must be used from one
// goroutine; a View is immutable and safe for concurrent use.
package membership
