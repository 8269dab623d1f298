package ingress

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxHeaderBytes limits the head of a caller's request.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes limits a request body while it is read, before the route's own limit
	// applies. Client limits in the release replace it.
	maxBodyBytes = 1 << 20
	// maxCallerConnections limits the caller connections that are served at once.
	maxCallerConnections = 16 << 10
	// readTimeout limits how long a caller may take to send a request.
	readTimeout = 30 * time.Second
	// writeTimeout limits how long a caller may take to read a response.
	writeTimeout = 10 * time.Minute
	// idleTimeout limits how long a caller's connection may be idle.
	idleTimeout = 2 * time.Minute
)

// NewServer returns an HTTP server that passes callers' requests to g. The caller of
// NewServer starts it and shuts it down.
func (g *Ingress) NewServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               g.Handle,
		ErrorHandler:          g.refuseReadError,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		HeaderReceived:        g.requestLimits,
		Concurrency:           maxCallerConnections,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// requestLimits applies the body limit for clients from the active release, if it has one.
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

// refuseReadError refuses a request that could not be read as HTTP. fasthttp closes the
// connection afterwards.
func (g *Ingress) refuseReadError(ctx *fasthttp.RequestCtx, err error) {
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

// discardLogger discards fasthttp's log lines about single connections; metrics count them.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
