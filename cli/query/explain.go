package query

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/fleet"
	"auburnladder.example/core/mesh"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/target"
)

type explainFlags struct {
	nodes       []string
	caller, vm  string
	method, url string
	bodyBytes   int
	format      *string
}

func registerExplain(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("explain", "Show where a node would send a request now, or whether it sends work to a VM, and why. Sends no request.")
	f := explainFlags{format: console.FormatFlag(cmd)}
	cmd.Flag("node", "Admin address ip:port of the node; repeat it to compare nodes.").Required().StringsVar(&f.nodes)
	cmd.Flag("caller", "Who calls: public or the name of a service.").Default(mesh.PublicCaller).StringVar(&f.caller)
	cmd.Flag("body-bytes", "Size of the request body.").Default("0").IntVar(&f.bodyBytes)
	cmd.Flag("vm", "VM to explain, in place of a request.").StringVar(&f.vm)
	cmd.Arg("method", "HTTP method, in upper case as callers send it.").StringVar(&f.method)
	cmd.Arg("url", "URL of the request as the caller sends it, such as http://programma.zaalwijzer.example/sessions.").StringVar(&f.url)
	cmd.Action(func(*kingpin.ParseContext) error { return f.run(c) })
}

func (f *explainFlags) run(c *console.Console) error {
	addrs := make([]netip.AddrPort, len(f.nodes))
	for i, node := range f.nodes {
		var err error
		if addrs[i], err = netip.ParseAddrPort(node); err != nil {
			return fmt.Errorf("--node: found %q, expected ip:port", node)
		}
	}
	if f.bodyBytes < 0 {
		return fmt.Errorf("--body-bytes: found %d, expected 0 or more", f.bodyBytes)
	}
	client := fleet.NewClient(fleet.DefaultConfig())
	switch {
	case f.vm != "" && f.method != "":
		return errors.New("expected either --vm or METHOD URL")
	case f.vm != "":
		return explainAll(c, client, addrs, f, statusapi.ExplainVMPath+"?"+url.Values{"vm": {f.vm}}.Encode(), printVMExplanation, vmFacts)
	}
	query, err := f.requestQuery()
	if err != nil {
		return err
	}
	return explainAll(c, client, addrs, f, statusapi.ExplainPath+"?"+query.Encode(), printExplanation, requestFacts)
}

// requestQuery returns the parameters of statusapi.ExplainPath.
func (f *explainFlags) requestQuery() (url.Values, error) {
	t, err := target.Parse(f.method, f.url, "")
	if err != nil {
		return nil, fmt.Errorf("found %q %q, expected METHOD http://HOST/PATH: %w", f.method, f.url, err)
	}
	if t.Host == "" || f.method == "" {
		return nil, fmt.Errorf("found %q %q, expected METHOD http://HOST/PATH", f.method, f.url)
	}
	query := url.Values{"method": {f.method}, "host": {t.Host}, "path": {t.Path}, "caller": {f.caller}}
	if f.bodyBytes > 0 {
		query.Set(statusapi.BodyBytesParameter, strconv.Itoa(f.bodyBytes))
	}
	return query, nil
}

func printVMExplanation(c *console.Console, e statusapi.VMExplanation) error {
	c.Printf("node %s, release %s: %s\n", e.VM, e.Held, describeEligibility(&e))
	for _, r := range e.Routes {
		c.Printf("route %s of %s leads to %s\n", r.Route, r.Service, e.Service)
	}
	printKnownEvacuations(c, e.Evacuations)
	if !e.Listed {
		return nil
	}
	return printCandidates(c, []statusapi.Candidate{e.Subject}, nil)
}

// describeEligibility says whether the node sends requests to the subject, and if
// not, why.
func describeEligibility(e *statusapi.VMExplanation) string {
	switch {
	case !e.Listed:
		return fmt.Sprintf("%s gets no work: the VM list does not name it", e.Subject.VM)
	case !e.Configured:
		return fmt.Sprintf("%s gets no work: the release has no service %s", e.Subject.VM, e.Service)
	case e.Subject.Excluded != "":
		return fmt.Sprintf("%s gets no work: %s", e.Subject.VM, e.Subject.Excluded)
	default:
		return fmt.Sprintf("%s gets work", e.Subject.VM)
	}
}

func printExplanation(c *console.Console, e statusapi.Explanation) error {
	c.Printf("node %s, release %s, active for %s: %s\n", e.VM, e.Held, milliseconds(e.HeldForMs), e.Outcome)
	if e.Reason != "" {
		c.Printf("reason: %s\n", e.Reason)
	}
	printKnownEvacuations(c, e.Evacuations)
	if r := e.Route; r != nil {
		printRoute(c, r)
	}
	if w := e.Work; w != nil && w.Samples > 0 {
		c.Printf("expected work: %s, from %d requests of the route, the last one %s ago\n", milliseconds(w.WorkMs), w.Samples, milliseconds(w.AgeMs))
	} else if w != nil {
		c.Printf("expected work: %s, the mean of all routes; none of this route is known\n", milliseconds(w.WorkMs))
	}
	if e.Plan != nil {
		printPlan(c, e.Plan)
	}
	if len(e.Candidates) == 0 {
		return nil
	}
	c.Printf("\n")
	return printCandidates(c, e.Candidates, e.Plan)
}

// printPlan prints what would happen to the request now.
func printPlan(c *console.Console, p *statusapi.Plan) {
	objective := "none"
	if p.ObjectiveMs > 0 {
		objective = milliseconds(p.ObjectiveMs)
	}
	c.Printf("rank: %d; objective: %s; time left: %s; body: %d bytes\n", p.Rank, objective, milliseconds(p.DeadlineMs), p.BodyBytes)
	if p.Refusal != nil {
		c.Printf("refused by this node: %s\n", describeRefusal(*p.Refusal))
	}
	for _, t := range p.Targets {
		c.Printf("service %s, %.1f%% of the requests; policy: %s", t.Service, percent*t.Share, t.Policy)
		if t.Policy != t.Configured {
			c.Printf(" in place of %s, which lacks what it needs or finds the service overloaded", t.Configured)
		}
		c.Printf("\n")
		for i, a := range t.Attempts {
			c.Printf("  %s: %s in domain %s\n", attemptName(i), a.VM, a.Domain)
		}
		switch {
		case len(t.Attempts) > 0:
			c.Printf("  after the last refusal: %s\n", describeRefusal(t.Refusal))
		default:
			c.Printf("  refused at once: %s\n", describeRefusal(t.Refusal))
		}
		if len(t.Attempts) > 0 && t.RefusedShare > 0 {
			c.Printf("  %.1f%% of such requests are refused at once\n", percent*t.RefusedShare)
		}
	}
}

// percent converts a share to a percentage.
const percent = 100

// attemptName says when the attempt with index i is made.
func attemptName(i int) string {
	if i == 0 {
		return "first attempt"
	}
	return fmt.Sprintf("after refusal %d", i)
}

func describeRefusal(r statusapi.PlannedRefusal) string {
	text := fmt.Sprintf("status %d, %s", r.Status, r.Reason)
	if r.RetryAfter == "" {
		return text
	}
	return fmt.Sprintf("%s; Retry-After: %s", text, r.RetryAfter)
}

// printCandidates prints the servers. p is the plan of the request, nil if there is none.
func printCandidates(c *console.Console, candidates []statusapi.Candidate, p *statusapi.Plan) error {
	t := newTable(c.Out, "SERVER", "DOMAIN", "SHARE", "IN FLIGHT", "LOAD", "LOAD AGE", "WEIGHT", "END", "QUEUE", "RUN", "DISTANCE", "FULL",
		"OUTSTANDING", "SLOWDOWN", "REPORT AGE", "WAIT", "COLD", "EXCLUDED")
	for _, s := range candidates {
		row := []string{
			s.VM, s.Domain, firstShare(p, s.VM), fmt.Sprint(s.InFlight), fmt.Sprintf("%.2f", s.Load), ageOrDash(s.LoadAgeMs),
			fmt.Sprintf("%.2f", s.Weight),
		}
		row = append(row, describeDelay(s.Expected)...)
		t.addRow(append(row, describeWait(s.Wait), describeCold(s.Cold), describeExclusion(s))...)
	}
	return t.flush()
}

// firstShare returns the share of first attempts that a server gets.
func firstShare(p *statusapi.Plan, vm string) string {
	if p == nil {
		return orDash("")
	}
	for _, t := range p.Targets {
		for _, s := range t.Shares {
			if s.VM == vm {
				return fmt.Sprintf("%.1f%%", percent*s.Share*t.Share)
			}
		}
	}
	return "0%"
}

// describeDelay returns the columns END to REPORT AGE of a candidate.
func describeDelay(d *statusapi.ExpectedDelay) []string {
	if d == nil {
		return slices.Repeat([]string{orDash("")}, 8)
	}
	return []string{
		milliseconds(d.EndMs), milliseconds(d.QueueMs), milliseconds(d.RunMs), milliseconds(d.DistanceMs), milliseconds(d.FullMs),
		milliseconds(d.OutstandingMs), fmt.Sprintf("%.2f", d.Slowdown), ageOrDash(d.ReportAgeMs),
	}
}

func describeWait(w *statusapi.ReportedWait) string {
	if w == nil {
		return orDash("")
	}
	text := milliseconds(w.WaitMs)
	if w.Refuses {
		text += ", refuses the rank"
	}
	text += fmt.Sprintf(" (%s ago", milliseconds(w.AgeMs))
	if !w.Used {
		text += ", too old"
	}
	return text + ")"
}

func describeCold(s *statusapi.ColdServer) string {
	if s == nil {
		return orDash("")
	}
	return fmt.Sprintf("%s left by %s, own share %.2f/s, next in %s", milliseconds(s.LeftMs), s.By, s.SharePerSecond, milliseconds(s.NextMs))
}

func describeExclusion(s statusapi.Candidate) string {
	text := s.Excluded
	if s.ExcludedBy != "" {
		text += "; by " + s.ExcludedBy
	}
	if s.ExcludedForMs > 0 {
		text += fmt.Sprintf(", for %s", milliseconds(s.ExcludedForMs))
	}
	return orDash(text)
}

// ageOrDash returns an age, or "-" if it is negative, which means unknown.
func ageOrDash(ms int64) string {
	if ms < 0 {
		return orDash("")
	}
	return milliseconds(ms)
}

func milliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

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
