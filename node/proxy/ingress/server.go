package ingress

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxHeaderBytes bounds the head of a caller's request.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds a caller's body before the route's own limit applies, unless the
	// release bounds what clients may send.
	maxBodyBytes = 1 << 20
	// maxCallers bounds the connections of callers that are served at once.
	maxCallers = 16 << 10
	// readTimeout bounds how long a caller may take to send a request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds how long a caller may take to read an answer.
	writeTimeout = 10 * time.Minute
	// idleTimeout bounds how long a caller's connection may be unused.
	idleTimeout = 2 * time.Minute
)

// NewServer returns the HTTP server for callers of g.
func (g *Ingress) NewServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               g.Handle,
		ErrorHandler:          g.refuseUnreadable,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		HeaderReceived:        g.requestLimits,
		Concurrency:           maxCallers,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// requestLimits lets the release in force bound the bodies of clients.
func (g *Ingress) requestLimits(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	snap := g.State.Snapshot()
	if snap == nil {
		return fasthttp.RequestConfig{}
	}
	limits := snap.ClientLimits()
	if limits == nil {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: int(limits.BodyBytes)}
}

// refuseUnreadable answers a request that can't be read as HTTP. fasthttp closes
// the connection afterwards.
func (g *Ingress) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		g.refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "head of the request is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		g.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, "body is too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		g.refuse(ctx, fasthttp.StatusRequestTimeout, "request came too slowly")
	default:
		g.refuse(ctx, fasthttp.StatusBadRequest, "request is not valid HTTP")
	}
}

// discardLogger drops fasthttp's lines about single connections; metrics count them.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
