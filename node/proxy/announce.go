package proxy

import (
	"strconv"
	"strings"

	"auburnladder.example/core/vmlist"
)

// ServerLimitHeader is the header of a call in which a node tells the node of a backend server which
// rate limit the server named in an earlier response. It doesn't reach the server.
const ServerLimitHeader = internalPrefix + "Server-Limit"

// serverLimitSeparator stands between the start time of the server and its limit.
const serverLimitSeparator = ";"

// FormatServerLimit returns the value of ServerLimitHeader for the limit that run named.
func FormatServerLimit(limit string, run vmlist.Run) string {
	return strconv.FormatInt(run.StartedAtMs, 10) + serverLimitSeparator + limit
}

// ParseServerLimit returns the limit in a value of ServerLimitHeader if run named it.
func ParseServerLimit(value string, run vmlist.Run) (limit string, ok bool) {
	started, limit, found := strings.Cut(value, serverLimitSeparator)
	return limit, found && started == strconv.FormatInt(run.StartedAtMs, 10)
}

// AnnouncementRecorder records what backend servers announce for all parts of the node.
type AnnouncementRecorder interface {
	// RecordLeavingServer records that a run of a server announced that it leaves.
	RecordLeavingServer(run vmlist.Run)
}
