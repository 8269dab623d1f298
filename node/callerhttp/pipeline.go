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
	// started is set once the exchange may have reached a server.
	started bool
}

// pipeline holds the exchanges of one connection whose response is not complete, in the order
// of their requests. It answers the load of callers that send further requests before the
// first one has been answered:
//
//   - An exchange that may run concurrently starts at once, but waits for an earlier one that
//     may not.
//   - An exchange that may not run concurrently starts once all earlier responses are
//     complete. A caller sends again what lies behind a response that closes the connection,
//     so it must not have run by then.
//   - The response that closes the connection is the one of the last exchange that has
//     started. Nothing behind it starts.
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
	// ended is set when no further response may be written.
	ended bool
}

// add appends an exchange that was read. It returns false if the connection closes before
// that exchange, which then counts as not read.
func (p *pipeline) add(x *Exchange, concurrent bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
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

// start marks x as started. It returns false if x must not run, because the connection closes
// before its turn.
func (p *pipeline) start(x *Exchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.final != nil && p.final != x && !p.before(x, p.final) {
		return false
	}
	x.started = true
	return true
}

// before reports whether a comes before b in the queue. Both must be in it.
func (p *pipeline) before(a, b *Exchange) bool {
	for _, x := range p.queue {
		switch x {
		case a:
			return true
		case b:
			return false
		}
	}
	return false
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

// respond is called when the response of x is about to be written, at its turn. closing says
// that the connection is to be closed as soon as the exchanges that have started allow it.
// final reports whether the connection closes after this response; ok is false if the
// response must not be written.
func (p *pipeline) respond(x *Exchange, closing bool) (final, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false, false
	}
	if closing && p.final == nil {
		p.final = p.lastStarted()
	}
	return p.final == x, true
}

// lastStarted returns the last exchange in the queue that has started. The first one has.
func (p *pipeline) lastStarted() *Exchange {
	last := p.queue[0]
	for _, x := range p.queue[1:] {
		if x.started {
			last = x
		}
	}
	return last
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
