// Package admin serves the read-only HTTP endpoints for operators.
package admin

import (
	"errors"
	"expvar"
	"strconv"

	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/query"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// New returns the admin application; the caller provides its listener. Unless readyPath is
// "", it serves the readiness check of statusapi.ReadyPath at that path too.
func New(r *query.Reader, readyPath string) *fiber.App {
	app := fiber.New(fiber.Config{AppName: "auburnladder-node"})
	app.Get(statusapi.StatusPath, func(c fiber.Ctx) error { return status(c, r) })
	app.Get(statusapi.ConfigPath, func(c fiber.Ctx) error { return config(c, r) })
	app.Get(statusapi.JournalPath, func(c fiber.Ctx) error { return journal(c, r) })
	app.Get(statusapi.ExplainPath, func(c fiber.Ctx) error { return explain(c, r) })
	app.Get(statusapi.ExplainVMPath, func(c fiber.Ctx) error { return c.JSON(r.ExplainVM(c.Query("vm"))) })
	app.Get(statusapi.EvidencePath, func(c fiber.Ctx) error { return signEvidence(c, r) })
	app.Get(statusapi.HealthPath, func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get(statusapi.ReadyPath, func(c fiber.Ctx) error { return ready(c, r) })
	if readyPath != "" {
		app.Get(readyPath, func(c fiber.Ctx) error { return ready(c, r) })
	}
	app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	return app
}

func fail(c fiber.Ctx, status int, err error) error {
	return c.Status(status).JSON(errorBody{Error: err.Error()})
}

func status(c fiber.Ctx, r *query.Reader) error {
	s := r.Status()
	if c.Query(statusapi.BriefParameter) == "true" {
		s.VMs = nil
		s.Peers = nil
	}
	return c.JSON(s)
}

func ready(c fiber.Ctx, r *query.Reader) error {
	if !r.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func config(c fiber.Ctx, r *query.Reader) error {
	answer, err := r.Config()
	if err != nil {
		return fail(c, fiber.StatusServiceUnavailable, err)
	}
	return c.JSON(answer)
}

func journal(c fiber.Ctx, r *query.Reader) error {
	after, err := strconv.ParseUint(c.Query("since", "0"), 10, 64)
	if err != nil {
		return fail(c, fiber.StatusBadRequest, errors.New("since: expected the number of a journal entry"))
	}
	return c.JSON(r.JournalSince(after))
}

func explain(c fiber.Ctx, r *query.Reader) error {
	req := query.Request{Method: c.Query("method"), Host: c.Query("host"), Path: c.Query("path"), Caller: c.Query("caller")}
	if req.Method == "" || req.Host == "" || req.Path == "" || req.Caller == "" {
		return fail(c, fiber.StatusBadRequest, errors.New("expected the parameters method, host, path and caller"))
	}
	return c.JSON(r.Explain(req))
}

func signEvidence(c fiber.Ctx, r *query.Reader) error {
	signed, err := r.Evidence(c.Query("nonce"))
	switch {
	case err == nil:
		return c.JSON(signed)
	case errors.Is(err, query.ErrNoKey):
		return fail(c, fiber.StatusNotImplemented, err)
	default:
		return fail(c, fiber.StatusBadRequest, err)
	}
}
