package ingress

import (
	"errors"
	"net"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/target"
	"auburnladder.example/node/callerhttp"
	"github.com/valyala/fasthttp"
)

// defaultMaxBodyBytes limits a request body while it is read, before the route's own limit
// applies. Client limits in the release replace it.
const defaultMaxBodyBytes = 1 << 20

// noRoomRetryAfter is when to send a request again whose body found no room.
const noRoomRetryAfter = time.Second

// NewServer returns an HTTP server that passes callers' requests to g. The caller of
// NewServer starts it and shuts it down.
func (g *Ingress) NewServer(cfg callerhttp.Config) *callerhttp.Server {
	return callerhttp.New(cfg, g)
}

// MaxBodyBytes implements callerhttp.Handler. It returns the body limit for clients from the
// active release, if it has one.
func (g *Ingress) MaxBodyBytes() int {
	limits := g.clientLimits()
	if limits == nil || limits.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return int(limits.BodyBytes)
}

// IdleTimeout implements callerhttp.Handler. It returns the limit for clients from the active
// release, 0 if it has none.
func (g *Ingress) IdleTimeout() time.Duration {
	limits := g.clientLimits()
	if limits == nil {
		return 0
	}
	return limits.IdleTimeout.Duration()
}

// HeaderTimeout returns the limit for clients from the active release, 0 if it has none. callerhttp calls
// it for each request.
func (g *Ingress) HeaderTimeout() time.Duration {
	limits := g.clientLimits()
	if limits == nil {
		return 0
	}
	return limits.HeaderTimeout.Duration()
}

// clientLimits returns the limits for clients from the active release, nil if it has none.
func (g *Ingress) clientLimits() *mesh.ClientLimits {
	snap := g.State.Snapshot()
	if snap == nil {
		return nil
	}
	return snap.ClientLimits()
}

// Stopping implements callerhttp.Handler.
func (g *Ingress) Stopping() bool { return g.Draining != nil && g.Draining() }

// Reject implements callerhttp.Handler. It refuses a request that could not be read as HTTP.
func (g *Ingress) Reject(x *callerhttp.Exchange, err error) {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		g.refuse(x, fasthttp.StatusRequestHeaderFieldsTooLarge, "head of the request is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		g.refuse(x, fasthttp.StatusRequestEntityTooLarge, "body is too large")
	case errors.Is(err, callerhttp.ErrNoRoom):
		g.refuse(x, fasthttp.StatusServiceUnavailable, err.Error())
		x.Response.Header.Set(fasthttp.HeaderRetryAfter, g.formatRetryAfter(noRoomRetryAfter))
	case errors.As(err, &netErr) && netErr.Timeout():
		g.refuse(x, fasthttp.StatusRequestTimeout, "request came too slowly")
	case errors.Is(err, target.ErrInvalid):
		g.refuse(x, fasthttp.StatusBadRequest, err.Error())
	default:
		g.refuse(x, fasthttp.StatusBadRequest, "request is not valid HTTP")
	}
}

var _ callerhttp.Handler = (*Ingress)(nil)
