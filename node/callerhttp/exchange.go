package callerhttp

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is one request of a caller and its response. Request may be read until Run
// returns; Response is written after that.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response

	ctx     context.Context
	arrived time.Time
	task    Task
	// size is the size of the request in bytes.
	size int
	// closes is set if the connection closes after this response.
	closes bool
	position
}

// Context ends when the caller closes its connection or the connection is closed for another
// reason. It may be used from any goroutine.
func (x *Exchange) Context() context.Context { return x.ctx }

// Arrived returns when the first byte of the request reached this process. If reading had
// been paused with the bytes already there, it is the beginning of the pause.
func (x *Exchange) Arrived() time.Time { return x.arrived }

var exchangePool = sync.Pool{New: func() any { return new(Exchange) }}

func acquireExchange(ctx context.Context, arrived time.Time) *Exchange {
	x := exchangePool.Get().(*Exchange)
	x.ctx, x.arrived = ctx, arrived
	x.Response.Header.SetNoDefaultContentType(true)
	return x
}

// releaseExchange returns x to the pool. Its response must have been written or discarded.
func releaseExchange(x *Exchange) {
	x.Request.Reset()
	x.Response.Reset()
	x.ctx, x.task, x.arrived = nil, nil, time.Time{}
	x.size, x.closes = 0, false
	x.position = position{}
	exchangePool.Put(x)
}
