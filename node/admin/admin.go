// Package admin serves the HTTP endpoints for operators: status, configuration, journal,
// explanations, evidence, health and readiness checks, and expvar counters. They only read;
// their paths and responses are defined in package statusapi.
package admin

import (
	"errors"
	"expvar"
	"fmt"
	"strconv"
	"time"

	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/query"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
)

// Limits of the connections of operators and health checks.
const (
	// MaxConnections is the number of connections to serve at a time.
	MaxConnections = 32
	// maxBodyBytes limits the body of a request, of which none needs one.
	maxBodyBytes = 1 << 10
	// maxHeadBytes limits the header section of a request.
	maxHeadBytes = 4 << 10
	// requestTimeout limits the time to read a request, and to write a response.
	requestTimeout = 5 * time.Second
	// idleTimeout limits the time between two requests.
	idleTimeout = time.Minute
	// workerTimeout is how long a goroutine waits for another connection.
	workerTimeout = time.Second
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// New returns the admin application; the caller provides its listener. Unless readyPath is
// "", the readiness check of statusapi.ReadyPath is also served at readyPath.
func New(q *query.Querier, readyPath string) *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:        "auburnladder-node",
		BodyLimit:      maxBodyBytes,
		ReadBufferSize: maxHeadBytes,
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout,
		IdleTimeout:    idleTimeout,
	})
	app.Server().MaxIdleWorkerDuration = workerTimeout
	app.Get(statusapi.StatusPath, func(c fiber.Ctx) error { return serveStatus(c, q) })
	app.Get(statusapi.ConfigPath, func(c fiber.Ctx) error { return serveConfig(c, q) })
	app.Get(statusapi.JournalPath, func(c fiber.Ctx) error { return serveJournal(c, q) })
	app.Get(statusapi.ExplainPath, func(c fiber.Ctx) error { return serveExplanation(c, q) })
	app.Get(statusapi.ExplainVMPath, func(c fiber.Ctx) error { return c.JSON(q.ExplainVM(c.Query("vm"))) })
	app.Get(statusapi.EvidencePath, func(c fiber.Ctx) error { return serveEvidence(c, q) })
	app.Get(statusapi.HealthPath, func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get(statusapi.ReadyPath, func(c fiber.Ctx) error { return serveReadiness(c, q) })
	if readyPath != "" {
		app.Get(readyPath, func(c fiber.Ctx) error { return serveReadiness(c, q) })
	}
	app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	return app
}

// sendError sends an error response with the given HTTP status and the text of err.
func sendError(c fiber.Ctx, status int, err error) error {
	return c.Status(status).JSON(errorBody{Error: err.Error()})
}

// serveStatus sends the node's status. With statusapi.BriefParameter set to "true" it leaves
// out the VM list and the peers.
func serveStatus(c fiber.Ctx, q *query.Querier) error {
	s := q.Status()
	if c.Query(statusapi.BriefParameter) == "true" {
		s.VMs = nil
		s.Peers = nil
	}
	return c.JSON(s)
}

// serveReadiness sends status 200 if the node serves callers, and 503 otherwise.
func serveReadiness(c fiber.Ctx, q *query.Querier) error {
	if !q.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// serveConfig sends the active configuration, or status 503 with the error, such as
// query.ErrNoRelease.
func serveConfig(c fiber.Ctx, q *query.Querier) error {
	cfg, err := q.Config()
	if err != nil {
		return sendError(c, fiber.StatusServiceUnavailable, err)
	}
	return c.JSON(cfg)
}

// serveJournal sends the journal's entries with a number above the parameter since, which is 0
// by default.
func serveJournal(c fiber.Ctx, q *query.Querier) error {
	after, err := strconv.ParseUint(c.Query("since", "0"), 10, 64)
	if err != nil {
		return sendError(c, fiber.StatusBadRequest, errors.New("parameter since: expected the number of a journal entry"))
	}
	return c.JSON(q.JournalSince(after))
}

// serveExplanation sends how the node would handle the request that the parameters describe.
func serveExplanation(c fiber.Ctx, q *query.Querier) error {
	req := query.Request{Method: c.Query("method"), Host: c.Query("host"), Target: c.Query("path"), Caller: c.Query("caller")}
	if req.Method == "" || req.Host == "" || req.Target == "" || req.Caller == "" {
		return sendError(c, fiber.StatusBadRequest, errors.New("the parameters method, host, path and caller are all required"))
	}
	var err error
	if req.BodyBytes, err = strconv.Atoi(c.Query(statusapi.BodyBytesParameter, "0")); err != nil || req.BodyBytes < 0 {
		return sendError(c, fiber.StatusBadRequest, fmt.Errorf("parameter %s: expected a number of bytes", statusapi.BodyBytesParameter))
	}
	return c.JSON(q.Explain(req))
}

// serveEvidence sends a signed statement of the held release for the parameter nonce. It sends
// status 501 if the node has no signing key, and 400 for any other error.
func serveEvidence(c fiber.Ctx, q *query.Querier) error {
	signed, err := q.Evidence(c.Query("nonce"))
	switch {
	case err == nil:
		return c.JSON(signed)
	case errors.Is(err, query.ErrNoKey):
		return sendError(c, fiber.StatusNotImplemented, err)
	default:
		return sendError(c, fiber.StatusBadRequest, err)
	}
}
