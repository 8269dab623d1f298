package egress

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// probeTimeout limits the connection attempt that finds out whether the server has ended.
const probeTimeout = 250 * time.Millisecond

// processID numbers the processes of the server that this node saw, from 1. A process ends when
// the server's address refuses a connection; the next one begins with the connection after it.
type processID uint64

// recordProcess records whether the server's address accepted or refused a connection, and
// returns the latest process of the server. It calls onEnd if that has just turned out to have
// ended.
func (p *serverPool) recordProcess(err error) processID {
	p.endMu.Lock()
	defer p.endMu.Unlock()
	switch refused := errors.Is(err, syscall.ECONNREFUSED); {
	case refused && !p.gone:
		p.gone = true
		if p.onEnd != nil {
			p.onEnd(p.process)
		}
	case err == nil && p.gone:
		p.gone = false
		p.process++
	}
	return p.process
}

// probe finds out whether the latest process of the server has ended. It opens a connection if
// no idle one is alive, and keeps it for later requests.
func (p *serverPool) probe(ctx context.Context) {
	if p.ended() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if c, err := p.get(ctx, false); err == nil {
		p.put(c)
	}
}

// ended reports whether the latest process of the server is known to have ended. Then onEnd has
// returned.
func (p *serverPool) ended() bool {
	p.endMu.Lock()
	defer p.endMu.Unlock()
	return p.gone
}
