package egress

import (
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/core/upload"
	"auburnladder.example/node/budget"
	"auburnladder.example/node/transfer"
)

// Config holds the limits and intervals of an Egress.
type Config struct {
	// Admission configures the concurrency limiter and its queue.
	Admission admission.Config
	// Server configures the connections to the backend server.
	Server ServerConfig
	// Pause configures the detection of process pauses.
	Pause admission.PauseConfig
	// Transfer configures the sharing of the VM's network link by long response bodies.
	Transfer transfer.Config
	// Upload configures the acceptance of request bodies that are announced before they are sent.
	Upload upload.Config
	// Uploads bounds the bytes of these bodies that the node holds; nil means no bound.
	Uploads *budget.Budget
	// TickInterval is the interval of Run's periodic work: pause detection, limit
	// updates, metrics and closing of idle connections. Shorter costs processor time; it
	// must stay below half of Pause.MaxGap.
	TickInterval time.Duration
	// InlineBytes is the largest response body, in bytes, that is sent in one message
	// with the response headers. Larger saves messages and holds more memory for each
	// response.
	InlineBytes int
	// BufferBytes is the largest response body, in bytes, that is read completely before
	// it is sent, which frees the server early. Larger holds more memory for each
	// response.
	BufferBytes int
	// Buffers bounds the bytes of responses that are read completely before they are sent, of all
	// calls. A response that doesn't fit is passed on as it comes, which occupies the server longer. nil
	// means no bound.
	Buffers *budget.Budget
	// ChunkBytes is the size in bytes of the messages that carry a body longer than
	// InlineBytes.
	ChunkBytes int
	// MaxRemaining limits the time that a call may take, whatever its remaining time
	// says.
	MaxRemaining time.Duration
	// SeenCalls is the minimum number of recent calls that are remembered to refuse
	// duplicates. Each takes about 100 bytes of memory.
	SeenCalls int
}

// DefaultConfig returns the configuration of a node in production.
func DefaultConfig() Config {
	return Config{
		Admission:    admission.DefaultConfig(),
		Server:       DefaultServerConfig(),
		Pause:        admission.DefaultPauseConfig(),
		Transfer:     transfer.DefaultConfig(),
		Upload:       upload.DefaultConfig(),
		TickInterval: 100 * time.Millisecond,
		InlineBytes:  15 << 10,
		BufferBytes:  512 << 10,
		ChunkBytes:   15 << 10,
		MaxRemaining: 10 * time.Minute,
		SeenCalls:    8192,
	}
}
