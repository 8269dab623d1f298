package callerhttp

import (
	"context"
	"net"
	"sync"
	"time"

	"auburnladder.example/core/target"
	"auburnladder.example/node/budget"
	"github.com/valyala/fasthttp"
)

// Exchange is one request of a caller and its response. Request may be read until Run
// returns; Response is written after that.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// Target is what the request asks for. Request.URI must not be used: it decodes and cleans
	// the path, and changes Request.
	Target target.Target

	conn    *conn
	ctx     context.Context
	nc      net.Conn
	arrived time.Time
	task    Task
	// size is the size of the request in bytes.
	size int
	// charged is what is charged to the connection for the request and its response.
	charged int64
	// body is what is reserved for the body of the request.
	body reservation
	// ahead is the part of the response's body that was read ahead, of a body that has no length, and
	// buffered what is reserved for it.
	ahead    []byte
	buffered reservation
	// closes is set if the connection closes after this response.
	closes bool
	position
}

// Context ends when the caller closes its connection or the connection is closed for another
// reason. It may be used from any goroutine.
func (x *Exchange) Context() context.Context { return x.ctx }

// CallerLeft reports whether the caller has closed its connection. Unlike Context, it also
// notices this while the reading goroutine has not got to run, for example after the process was
// short of processor time. It may be called until Run returns.
func (x *Exchange) CallerLeft() bool {
	return x.ctx.Err() != nil || closedByRemote(x.nc)
}

// Arrived returns when the first byte of the request reached this process. If reading had
// been paused with the bytes already there, it is the beginning of the pause.
func (x *Exchange) Arrived() time.Time { return x.arrived }

var exchangePool = sync.Pool{New: func() any { return new(Exchange) }}

func acquireExchange(c *conn) *Exchange {
	x := exchangePool.Get().(*Exchange)
	x.conn, x.ctx, x.nc, x.arrived = c, c.ctx, c.nc, c.in.last
	x.Response.Header.SetNoDefaultContentType(true)
	return x
}

// releaseExchange returns x to the pool. Its response must have been written or discarded.
func releaseExchange(x *Exchange) {
	large := x.charged-x.body.bytes > maxPooledBytes
	x.discharge(x.charged)
	x.Request.Reset()
	x.Response.Reset()
	x.body.releaseAll()
	x.buffered.releaseAll()
	x.ahead = nil
	x.conn, x.ctx, x.nc, x.task, x.arrived = nil, nil, nil, nil, time.Time{}
	x.size, x.closes = 0, false
	x.Target = target.Target{}
	x.position = position{}
	if !large {
		exchangePool.Put(x)
	}
}

// reservation is what is reserved of a budget.
type reservation struct {
	budget *budget.Budget
	bytes  int64
}

// reserve takes n more bytes of b, the only budget of the reservation, or returns false. With keep it
// leaves the part for small bodies.
func (r *reservation) reserve(b *budget.Budget, n int, keep bool) bool {
	kept := int64(0)
	if keep {
		kept = b.Limit() / smallBodiesDivisor
	}
	if !b.ReserveAbove(int64(n), kept) {
		return false
	}
	r.budget, r.bytes = b, r.bytes+int64(n)
	return true
}

// release gives back n of the bytes.
func (r *reservation) release(n int) {
	r.budget.Release(int64(n))
	r.bytes -= int64(n)
}

// releaseAll gives back all of the bytes.
func (r *reservation) releaseAll() {
	r.budget.Release(r.bytes)
	*r = reservation{}
}
