// Package admin serves the read-only HTTP endpoints for operators.
package admin

import (
	"expvar"

	"auburnladder.example/core/statusapi"
	"auburnladder.example/node/query"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
)

// New returns the application; the caller gives it a listener.
func New(r *query.Reader) *fiber.App {
	app := fiber.New(fiber.Config{AppName: "auburnladder-node"})
	app.Get(statusapi.StatusPath, func(c fiber.Ctx) error { return c.JSON(r.Status()) })
	app.Get(statusapi.HealthPath, func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get(statusapi.ReadyPath, func(c fiber.Ctx) error { return ready(c, r) })
	app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	return app
}

func ready(c fiber.Ctx, r *query.Reader) error {
	if !r.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}
