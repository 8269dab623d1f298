package proxy

import "auburnladder.example/core/vmlist"

// AnnouncementRecorder records what backend servers announce for all parts of the node.
type AnnouncementRecorder interface {
	// RecordLeavingServer records that a run of a server announced that it leaves.
	RecordLeavingServer(run vmlist.Run)
}
