package settings

import "fmt"

// Template returns a commented settings file with the most important defaults and their
// trade-offs, as --print-defaults prints it.
func Template() string {
	d := Default()
	return fmt.Sprintf(template,
		d.Platform.Timeout, d.Platform.Wait, d.Platform.FleetSize, d.PeerTLS.Reload, d.Preset, d.Routing.Policy, d.Routing.DomainCost, d.Log.Level, d.Log.Format, d.Trace.Exporter, d.Trace.SampleRatio)
}

const template = `# Settings of one auburnladder-node. Values under "required" have no default.

# required: which VM this is; the list of VMs must name it in the same way.
vm:
  id: programma-1
  service: programma
  domain: nl-central-a
  region: nl-central
  # link_mbps: 1000       # optional: rate of the VM's network link, megabits per second
  # memory_mb: 134        # optional: memory of the process, megabytes; bounds what it holds
  # max_fds: 4100         # optional: file descriptors of the process

# required: this node's own addresses, IP numbers only.
listen:
  peer: 127.0.0.1:7000    # other nodes, TCP and UDP
  caller: 127.0.0.1:8000  # callers from outside, HTTP
  local: 127.0.0.1:8100   # optional: the backend server's own calls to other services
  admin: 127.0.0.1:9000   # operators, HTTP, read only

# required: the backend server beside this node.
server:
  address: 127.0.0.1:8200

platform:
  # required: endpoints of the platform's configuration service.
  addresses: [127.0.0.1:2000]
  # Bounds one read. Shorter turns to the next endpoint sooner.
  timeout: %s
  # Bounds one watch. Longer costs fewer calls.
  wait: %s
  # VMs to expect before the VM list is known: spreads the first reads of a fleet that
  # starts at once. Larger delays every start, smaller lets a large fleet exceed the
  # service's limit for a moment.
  fleet_size: %d

# required: public keys whose approval counts, as keygen writes them to FILE.pub.
approval_keys:
  - audit-2026:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=

# Private key with which the node signs evidence for audits, as keygen --id VM-ID
# writes it; without it an audit finds this VM not compliant.
# node_key: programma-1:...

# required: how connections between nodes are protected. mutual: each node proves its VM
# with a certificate that holds the URI auburnladder://vm/ID; plain: any process that
# reaches a node is believed.
peer_tls:
  mode: plain
  # mode: mutual
  # cert: /etc/auburnladder/node.pem  # the node's certificate, then intermediate ones
  # key: /etc/auburnladder/node.key
  # ca: /etc/auburnladder/ca.pem      # authorities that nodes trust
  # Time between two looks at the files; changed ones are taken over without a restart.
  reload: %s

# Releases of any other deployment are refused. Left out, any approved release counts.
# deployment: zaalwijzer

# convergence spreads releases fastest; bytes spends the fewest control bytes.
preset: %s

routing:
  # p2c, or shortest-delay by the expected work of requests; random and round-robin ignore load and distance and serve measurements.
  policy: %s
  # Added to the load of a server in another failure domain, as a share of its limit.
  # Higher saves bytes between domains, lower levels the load sooner.
  domain_cost: %v

log:
  level: %s   # debug, info, warn, error
  format: %s  # json, console

trace:
  exporter: %s  # none, stdout, otlphttp
  # endpoint: 127.0.0.1:4318  # needed by otlphttp
  # Share of requests without a trace of their own that get one, 0 to 1.
  sample_ratio: %v
`
