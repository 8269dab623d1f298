package callerhttp

import "sync"

// position is the state of an exchange in the pipeline of its connection. The fields are
// guarded by pipeline.mu, but for the channels, which do not change after add.
type position struct {
	// turn is closed when all earlier responses are complete; nil if there was none.
	turn chan struct{}
	// mayStart is closed when the exchange may start; nil if it may start at once.
	mayStart <-chan struct{}
	// ran is closed when the task has returned. It is created for exchanges that make later
	// ones wait.
	ran chan struct{}
}

// closeMode says how soon a connection is to be closed.
type closeMode int

const (
	// keepOpen leaves the connection open.
	keepOpen closeMode = iota
	// closeWhenIdle closes it with a response behind which no request was read.
	closeWhenIdle
	// closeSoon closes it once all requests that were read are answered, and reads no further one.
	closeSoon
)

// pipeline holds the exchanges of one connection whose response is not complete, in the order
// of their requests. It answers the load of callers that send further requests before the
// first one has been answered:
//
//   - An exchange that may run concurrently starts at once, but waits for an earlier one that
//     may not.
//   - An exchange that may not run concurrently starts once all earlier responses are
//     complete. A caller sends again what lies behind a response that closes the connection,
//     so it must not have run by then.
//   - Every exchange gets its response. The one that closes the connection is the last one in
//     the queue, and nothing is added behind it.
//
// It is safe for concurrent use.
type pipeline struct {
	mu    sync.Mutex
	queue []*Exchange
	// bytes is the size of all requests in the queue.
	bytes int
	// barrier is the latest exchange in the queue that may not run concurrently.
	barrier *Exchange
	// final is the exchange whose response closes the connection, once that is decided.
	final *Exchange
	// reading is set while a request is being read, or the bytes of one were received.
	reading bool
	// ended is set when no further response may be written.
	ended bool
}

// beginRead records that the first bytes of a request were received. It returns false if the
// connection closes before that request.
func (p *pipeline) beginRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading = p.final == nil && !p.ended
	return p.reading
}

// add appends an exchange that was read. more says that bytes of the next request were received.
// It returns false if the connection closes before that exchange, which then counts as not read.
func (p *pipeline) add(x *Exchange, concurrent, more bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading = more
	if p.final != nil || p.ended {
		return false
	}
	if len(p.queue) > 0 {
		x.turn = make(chan struct{})
	}
	switch {
	case !concurrent:
		x.mayStart = x.turn
		x.ran = make(chan struct{})
		p.barrier = x
	case p.barrier != nil:
		x.mayStart = p.barrier.ran
	}
	if x.closes {
		p.final = x
	}
	p.queue = append(p.queue, x)
	p.bytes += x.size
	return true
}

// canStart reports whether x may run. It must not once the connection has ended.
func (p *pipeline) canStart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ended
}

// returned records that the task of x has returned.
func (p *pipeline) returned(x *Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x.ran != nil {
		close(x.ran)
	}
	if p.barrier == x {
		p.barrier = nil
	}
}

// respond is called when the response of x is about to be written, at its turn. final reports
// whether the connection closes after this response; ok is false if the response must not be
// written.
func (p *pipeline) respond(x *Exchange, mode closeMode) (final, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false, false
	}
	last := p.queue[len(p.queue)-1]
	if p.final == nil && (mode == closeSoon || mode == closeWhenIdle && last == x && !p.reading) {
		p.final = last
	}
	return p.final == x, true
}

// done removes the first exchange, x, and gives its turn to the next one.
func (p *pipeline) done(x *Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 || p.queue[0] != x {
		return
	}
	p.bytes -= x.size
	p.queue[0] = nil
	p.queue = p.queue[1:]
	if len(p.queue) > 0 {
		close(p.queue[0].turn)
	}
	if p.final == x {
		p.endLocked()
	}
}

// end prevents that further exchanges start or write a response, and wakes those that wait.
func (p *pipeline) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLocked()
}

func (p *pipeline) endLocked() {
	if p.ended {
		return
	}
	p.ended = true
	for i, x := range p.queue {
		if i > 0 {
			close(x.turn)
		}
	}
	clear(p.queue)
	p.queue, p.barrier = nil, nil
}

// load returns the number and the total size in bytes of the exchanges in the queue.
func (p *pipeline) load() (count, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue), p.bytes
}

// closing reports whether the connection closes after an exchange that was read already, or
// has ended.
func (p *pipeline) closing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended || p.final != nil
}
