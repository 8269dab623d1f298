package questionnaire

import "strings"

// servicePlaceholder is replaced by the service name in template.
const servicePlaceholder = "SERVICE"

// Template returns a commented questionnaire for the named service, which the team
// edits. It passes all checks unchanged.
func Template(service string) string {
	return strings.ReplaceAll(template, servicePlaceholder, service)
}

const template = `# Questionnaire of service SERVICE. Every answer is required unless it says optional.
service: SERVICE

# HTTP host names under which callers reach the service, in lower case, without port.
hosts: [SERVICE.example]

# Who calls it: public (requests from outside the mesh) or names of services.
callers: [public]

# low, normal or high. Under overload, calls to low are refused first.
priority: normal

# Limits of each backend server of the service.
servers:
  # Requests that a server works on at once.
  slots: 10
  # Connections that a server takes, at least slots.
  connections: 110
  # How long a cold server takes to reach full speed; 0s if none.
  slow_start: 5s
  # Optional: path that answers with status 503 once the server wants to leave.
  # drain_path: /leaving

# How a backend server is stopped.
stop:
  # http: POST to path after the last request in flight has ended; none: the platform
  # stops it.
  how: http
  path: /stop
  # How long requests in flight may take to end, at least the longest deadline of a
  # route to this service.
  grace: 10s

# What the service holds. Sizes have the unit B, KiB, MiB or GiB.
resources:
  - name: items
    max_request: 16KiB
    max_response: 1MiB

# Which requests lead where. path matches whole segments from the start.
routes:
  - name: read-items
    methods: [GET, HEAD]
    path: /items
    # Optional: the service that holds the resource, if it is another one.
    # service: other
    resource: items
    # May a request run twice without harm?
    idempotent: true
    # attempts: in all, the first one included. statuses (optional): answers of a
    # server after which another attempt is made; only with idempotent: true.
    retry: {attempts: 3, statuses: [503]}
    # How long a call may take, all attempts included.
    deadline: 1s
  - name: create-item
    methods: [POST]
    path: /items
    resource: items
    # Runs at most once: another attempt is made only if the one before did not run.
    idempotent: false
    retry: {attempts: 3}
    deadline: 5s
`
