package query

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/fleet"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/statusapi"
)

func registerExplain(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("explain", "Show how a node would treat a request now, and why.")
	node := cmd.Flag("node", "Admin address ip:port of the node.").Required().String()
	caller := cmd.Flag("caller", "Who calls: public or the name of a service.").Default(mesh.PublicCaller).String()
	format := console.FormatFlag(cmd)
	method := cmd.Arg("method", "HTTP method.").Required().String()
	target := cmd.Arg("url", "URL of the request, such as http://programma.zaalwijzer.example/sessions.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		return explain(c, *node, *caller, strings.ToUpper(*method), *target, *format)
	})
}

func explain(c *console.Console, node, caller, method, target, format string) error {
	addr, err := netip.ParseAddrPort(node)
	if err != nil {
		return fmt.Errorf("--node: found %q, expected ip:port", node)
	}
	u, err := url.Parse(target)
	if err != nil || u.Hostname() == "" {
		return fmt.Errorf("url: found %q, expected http://HOST/PATH", target)
	}
	question := url.Values{"method": {method}, "host": {u.Hostname()}, "path": {orRoot(u.Path)}, "caller": {caller}}
	var e statusapi.Explanation
	client := fleet.NewClient(fleet.DefaultConfig())
	if err := client.Get(addr, statusapi.ExplainPath+"?"+question.Encode(), &e); err != nil {
		return console.Failed("%w", err)
	}
	if format == console.FormatJSON {
		return c.JSON(e)
	}
	return printExplanation(c, e)
}

func orRoot(path string) string {
	if path == "" {
		return "/"
	}
	return path
}

func printExplanation(c *console.Console, e statusapi.Explanation) error {
	c.Printf("node %s, release %s: %s\n", e.VM, e.Held, e.Outcome)
	if e.Reason != "" {
		c.Printf("reason: %s\n", e.Reason)
	}
	if r := e.Route; r != nil {
		printRoute(c, r)
	}
	if len(e.Candidates) == 0 {
		return nil
	}
	c.Printf("\n")
	t := newTable(c.Out, "SERVER", "DOMAIN", "IN FLIGHT", "LOAD", "WEIGHT", "EXCLUDED")
	for _, s := range e.Candidates {
		t.row(s.VM, s.Domain, fmt.Sprint(s.InFlight), fmt.Sprintf("%.2f", s.Load), fmt.Sprintf("%.2f", s.Weight), orDash(s.Excluded))
	}
	return t.flush()
}

func printRoute(c *console.Console, r *statusapi.ExplainedRoute) {
	deadline := time.Duration(r.DeadlineMs) * time.Millisecond
	c.Printf("route %s of the questionnaire of %s, to resource %s of %s\n", r.Name, r.Service, r.Resource, r.Target)
	c.Printf("callers: %s; priority: %s\n", strings.Join(r.Callers, ", "), r.Priority)
	c.Printf("retry: %s; deadline: %s\n", r.RetryRule, deadline)
	c.Printf("answers:\n")
	for _, a := range r.Answers {
		c.Printf("  %s: %s\n", a.Path, a.Text)
	}
}
