package admission

import (
	"time"

	"auburnladder.example/core/mesh"
)

// maxCount bounds every count in the limiter's state word.
const maxCount = 1<<countBits - 1

// Config holds the limits of one backend server and the pace of adaptation.
type Config struct {
	// Slots is the number of requests that the server works on at once. The limit
	// never exceeds it. Unit: requests.
	Slots int
	// QueueLimit bounds the waiting requests. A longer queue absorbs longer bursts
	// and makes every waiter later. Unit: requests.
	QueueLimit int
	// WaitShare is the share of its remaining time that a request may wait. The rest is
	// left for the work, or for another server after a refusal. A large share helps
	// over short bursts and leaves refused requests too late to be tried elsewhere.
	// Unit: 0 to 1.
	WaitShare float64
	// Order says which waiting request is served next.
	Order Order
	// SlowStart is how long a cold server takes to reach Slots; 0 for at once.
	SlowStart time.Duration
	// SlowStartShare is the share of Slots that a cold server starts with. A small
	// share spares the server and wastes capacity right after a start. Unit: 0 to 1.
	SlowStartShare float64
	// DecreaseFactor multiplies the limit when the server sheds or slows. A small
	// factor relieves the server sooner and costs more throughput. Unit: 0 to 1.
	DecreaseFactor float64
	// DecreaseInterval is the least time between two decreases, so that the sheds of
	// one burst count once. A long interval reacts late to a server that goes on
	// shedding.
	DecreaseInterval time.Duration
	// IncreaseInterval is the least time between two increases by one request. A short
	// interval recovers sooner and overloads a shedding server more often.
	IncreaseInterval time.Duration
	// SlowRatio is how many times the baseline service time makes a sample slow. A
	// small ratio takes ordinary variance for a slow server.
	SlowRatio float64
	// SlowScore is the surplus of slow over normal samples that decreases the limit,
	// as a multiple of the limit. A small score reacts sooner and to less evidence.
	SlowScore int
	// SlowFloor is the share of the slots below which slow answers alone don't take the
	// limit; sheds do. Slowness may have other causes than the server's concurrency, and
	// then a lower limit only costs throughput. Unit: 0 to 1.
	SlowFloor float64
	// ProbeInterval is how often a request is let through although its remaining time
	// is below the measured service time, so that a wrong estimate corrects itself. A
	// long interval keeps refusing after the server has recovered.
	ProbeInterval time.Duration
	// MinRetryAfter and MaxRetryAfter bound the back-off hint of a refusal. Short hints
	// bring callers back to a full queue, long ones leave a freed server idle.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the pace of adaptation; Slots and QueueLimit are for one slot.
func DefaultConfig() Config {
	return Config{
		Slots:            1,
		QueueLimit:       2,
		WaitShare:        0.25,
		SlowStartShare:   0.3,
		DecreaseFactor:   0.7,
		DecreaseInterval: 100 * time.Millisecond,
		IncreaseInterval: 200 * time.Millisecond,
		SlowRatio:        3,
		SlowScore:        4,
		SlowFloor:        0.5,
		ProbeInterval:    time.Second,
		MinRetryAfter:    5 * time.Millisecond,
		MaxRetryAfter:    2 * time.Second,
	}
}

// queuePerSlot is the number of waiters for each slot: the last waiter of a full
// queue starts after about this many service times.
const queuePerSlot = 2

// slotsPerWaiter bounds the queue under OrderUrgency: a waiter more would keep no slot
// busier, and make every request later that comes while all servers are full.
const slotsPerWaiter = 2

// ConfigFor returns the configuration for a backend server of a service. Waiters take
// no connection, but the queue stays within the connections that the server allows
// beyond its slots.
func ConfigFor(s mesh.Server) Config {
	cfg := DefaultConfig()
	cfg.Slots = min(s.Slots, maxCount)
	cfg.QueueLimit = min(queuePerSlot*cfg.Slots, s.Connections-s.Slots, maxCount)
	cfg.SlowStart = s.SlowStart.Duration()
	return cfg
}
