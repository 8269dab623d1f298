package egress

import (
	"time"

	"auburnladder.example/core/admission"
	"auburnladder.example/node/transfer"
)

// Config bounds the work of an Egress.
type Config struct {
	Admission admission.Config
	Server    ServerConfig
	Pause     admission.PauseConfig
	Transfer  transfer.Config
	// TickInterval is how often the process notes that it runs and old connections
	// are closed. Shorter costs processor time.
	TickInterval time.Duration
	// InlineBytes is the size up to which a body travels with the head of its answer.
	// Larger saves messages and holds more memory for each answer.
	InlineBytes int
	// BufferBytes is the size up to which a longer body is read whole before it is sent, to
	// free the server. Larger holds more memory for each answer.
	BufferBytes int
	// ChunkBytes is the size of the parts of a longer body.
	ChunkBytes int
	// ReplyTimeout bounds the sending of a reply without an answer.
	ReplyTimeout time.Duration
	// MaxRemaining bounds the time that a call may take, whatever it asks for.
	MaxRemaining time.Duration
	// SeenCalls is the number of recent calls at least whose repetition is refused.
	// More costs memory, about 100 bytes each.
	SeenCalls int
}

// DefaultConfig returns the limits of a node.
func DefaultConfig() Config {
	return Config{
		Admission:    admission.DefaultConfig(),
		Server:       DefaultServerConfig(),
		Pause:        admission.DefaultPauseConfig(),
		Transfer:     transfer.DefaultConfig(),
		TickInterval: 100 * time.Millisecond,
		InlineBytes:  15 << 10,
		BufferBytes:  512 << 10,
		ChunkBytes:   15 << 10,
		ReplyTimeout: 2 * time.Second,
		MaxRemaining: 10 * time.Minute,
		SeenCalls:    8192,
	}
}
