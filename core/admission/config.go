package admission

import (
	"time"

	"auburnladder.example/core/mesh"
)

// maxCount is the largest value of each count in the limiter's state word.
const maxCount = 1<<countBits - 1

// Config holds the limits of one backend server and the parameters of the adaptive limit.
type Config struct {
	// Slots is the number of requests that the server processes concurrently. The limit
	// never exceeds it. Unit: requests.
	Slots int
	// QueueLimit is the maximum number of waiting requests; under OrderUrgency it is set
	// from Slots and only bounds memory. A longer queue absorbs longer
	// bursts and increases the wait of every request. Unit: requests.
	QueueLimit int
	// WaitShare is the fraction of its remaining time that a request may wait under
	// OrderFair. The rest is reserved for processing, or for another server after a
	// refusal. A large fraction bridges short bursts but leaves refused requests too
	// little time to be retried on another server. Unit: 0 to 1.
	WaitShare float64
	// Order is the order in which waiting requests are served.
	Order Order
	// SlowStart is the time in which the limit rises from SlowStartShare to Slots after
	// the server has started; 0 disables slow start.
	SlowStart time.Duration
	// SlowStartShare is the fraction of Slots available at the beginning of slow start. A
	// small fraction protects the server but wastes capacity right after a start. Unit: 0
	// to 1.
	SlowStartShare float64
	// DecreaseFactor multiplies the limit when the server sheds requests or slows down. A
	// small factor relieves the server sooner and costs more throughput. Unit: 0 to 1.
	DecreaseFactor float64
	// DecreaseInterval is the minimum time between two decreases, so that the sheds of
	// one burst count once. A long interval delays the reaction to a server that keeps
	// shedding.
	DecreaseInterval time.Duration
	// IncreaseInterval is the minimum time between two increases by one request. A short
	// interval recovers sooner and overloads a shedding server more often.
	IncreaseInterval time.Duration
	// SlowRatio is the multiple of the baseline service time above which a sample counts
	// as slow. A small ratio mistakes ordinary variance for a slow server.
	SlowRatio float64
	// SlowScore is the surplus of slow over normal samples at which the limit is
	// decreased, as a multiple of the limit. A small score reacts sooner but to less
	// evidence.
	SlowScore int
	// SlowFloor is the fraction of the slots below which slow responses alone do not
	// decrease the limit; sheds still do. Slowness may have causes other than the server's
	// concurrency, and then a lower limit only costs throughput. Unit: 0 to 1.
	SlowFloor float64
	// ProbeInterval is the time without samples of a route after which one request is
	// admitted although its remaining time is below the measured service time, so that a
	// wrong estimate is corrected. With a long interval, requests are still refused after
	// the server has recovered.
	ProbeInterval time.Duration
	// MinRetryAfter and MaxRetryAfter bound the backoff hint of a refusal. Short hints
	// bring callers back to a full queue, long ones leave a recovered server idle.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the default parameters, with Slots and QueueLimit for a server
// with one slot.
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

// queuePerSlot is the number of waiting requests per slot: the last waiter of a full
// queue starts after about this many service times.
const queuePerSlot = 2

// waitersPerSlot and maxWaiters bound the memory of waiting requests under OrderUrgency, where the
// wait that each request can tolerate bounds the queue. Each takes a goroutine and its request. 32 per
// slot allow requests to wait for 32 mean service times.
const (
	waitersPerSlot = 32
	maxWaiters     = 512
)

// ConfigFor returns the configuration for a backend server. Waiting requests use no
// connection to the server, but the queue is limited to the number of connections that
// the server accepts beyond its slots.
func ConfigFor(s mesh.Server) Config {
	cfg := DefaultConfig()
	cfg.Slots = min(s.Slots, maxCount)
	cfg.QueueLimit = min(queuePerSlot*cfg.Slots, s.Connections-s.Slots, maxCount)
	cfg.SlowStart = s.SlowStart.Duration()
	return cfg
}
