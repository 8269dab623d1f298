package callerhttp

import (
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"auburnladder.example/core/lifetime"
	"auburnladder.example/core/steady"
	"github.com/valyala/fasthttp"
)

// begin starts the exchange of a request that was read, or that could not be read because of
// err. It returns false if the connection closes before the exchange, which it then does not
// keep.
func (c *conn) begin(x *Exchange, err error) bool {
	concurrent := true
	if err != nil {
		x.closes = true
		x.task = rejection{handler: c.server.handler, exchange: x, err: err}
	} else {
		x.task = c.server.handler.Accept(x)
		concurrent = x.task.Concurrent()
	}
	if !c.pipeline.add(x, concurrent, c.br.Buffered() > 0) {
		return false
	}
	if x.turn != nil {
		c.server.addWaiting(1)
		stats.pipelined.Add(1)
	}
	c.tasks.Go(func() { c.run(x) })
	return true
}

// rejection is the task of a request that could not be read.
type rejection struct {
	handler  Handler
	exchange *Exchange
	err      error
}

// Concurrent implements Task. A rejection reaches no server.
func (r rejection) Concurrent() bool { return true }

// Deadline implements Task.
func (r rejection) Deadline() time.Time { return r.exchange.arrived }

// Run implements Task.
func (r rejection) Run() { r.handler.Reject(r.exchange, r.err) }

// Undelivered implements Task.
func (r rejection) Undelivered(error) {}

// run runs the task of an exchange and writes the response at its turn. It runs on the
// goroutine of the exchange.
func (c *conn) run(x *Exchange) {
	behind := x.turn != nil
	ran := c.awaitStart(x)
	if ran {
		runTask(x)
	}
	c.pipeline.returned(x)
	if behind {
		<-x.turn
	}
	if err := c.deliver(x, ran); err != nil {
		stats.undelivered.Add(1)
		x.task.Undelivered(err)
	}
	c.lastAnswer.Store(steady.Nanos(time.Now()))
	if !c.served.Load() {
		c.served.Store(true)
	}
	c.pipeline.done(x)
	if c.server.closing.Load() && c.awaiting.Load() {
		// The shutdown woke the reading goroutine while this response was in progress.
		c.wake()
	}
	if behind {
		c.server.addWaiting(-1)
	}
	releaseExchange(x)
	select {
	case c.answered <- struct{}{}:
	default:
	}
}

// runTask runs the task of x. A panic ends the request with status 502, which does not say whether
// it ran, and closes the connection.
func runTask(x *Exchange) {
	defer func() {
		if reason := recover(); reason != nil {
			stats.panics.Add(1)
			x.task.Undelivered(fmt.Errorf("panic: %v\n%s", reason, debug.Stack()))
			x.Response.Reset()
			x.Response.SetStatusCode(fasthttp.StatusBadGateway)
			x.Response.SetConnectionClose()
		}
	}()
	x.task.Run()
}

// awaitStart waits until the exchange may run, or until its deadline: its task then finds that
// it is too late. It returns false if the exchange must not run.
func (c *conn) awaitStart(x *Exchange) bool {
	if x.mayStart != nil {
		timer := time.NewTimer(time.Until(x.task.Deadline()))
		defer timer.Stop()
		select {
		case <-x.mayStart:
		case <-timer.C:
		case <-c.ctx.Done():
		}
	}
	return c.ctx.Err() == nil && c.pipeline.canStart()
}

// Errors of a response that was not delivered although its caller had not left.
var (
	errNotStarted = errors.New("the connection closed before the request could start")
	errCut        = errors.New("the connection was cut")
)

// deliver writes the response of x, if it ran, at its turn. It returns an error if the caller gets
// no complete response and has not left itself.
func (c *conn) deliver(x *Exchange, ran bool) error {
	if ran {
		return c.respond(x)
	}
	if c.ctx.Err() != nil && !c.aborted.Load() {
		return nil
	}
	return errNotStarted
}

// respond writes the response of x, whose turn it is. If that fails, the caller can tell that
// the response is incomplete, because the connection is cut.
func (c *conn) respond(x *Exchange) error {
	x.Response.SkipBody = x.Request.Header.IsHead()
	if lacksLength(x) {
		c.readAhead(x)
	}
	final, ok := c.pipeline.respond(x, c.closeMode(x))
	if !ok {
		_ = x.Response.CloseBodyStream()
		if !c.aborted.Load() {
			return nil
		}
		return errCut
	}
	if final {
		// What the caller sends from now on stays unread.
		c.wake()
	}
	setFraming(x, final)
	_ = c.nc.SetWriteDeadline(lifetime.SendEnd(lifetime.End(x.task.Deadline()), time.Now()))
	err := c.write(x)
	switch {
	case err != nil:
		if x.ctx.Err() != nil || closedByRemote(c.nc) {
			err = nil
		}
		_ = x.Response.CloseBodyStream()
		stats.cut.Add(1)
		c.abort()
	case final:
		c.linger()
	}
	return err
}

// write writes the response of x.
func (c *conn) write(x *Exchange) error {
	if lacksLength(x) {
		return c.writeUntilClose(x)
	}
	if err := x.Response.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// closeMode returns how soon the connection is to be closed when x is answered.
func (c *conn) closeMode(x *Exchange) closeMode {
	switch {
	case x.closes || x.Response.ConnectionClose() || lacksLength(x) || c.server.closing.Load():
		return closeSoon
	case c.evicted.Load() || c.server.handler.Stopping():
		return closeWhenIdle
	default:
		return keepOpen
	}
}

// linger tells the caller that no further response follows and makes the reading goroutine
// stop reading requests.
func (c *conn) linger() {
	if tcp, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
	_ = c.nc.SetReadDeadline(pastDeadline)
}
