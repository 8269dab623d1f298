package query

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/questionnaire"
	"auburnladder.example/core/statusapi"
	"auburnladder.example/core/target"
	"auburnladder.example/core/workload"
)

// Request describes the request that Explain evaluates.
type Request struct {
	Method string
	// Host is the value of the Host header.
	Host string
	// Target is the request target: the path of the URL and its query, as sent.
	Target string
	// Caller is the identity of the caller: mesh.PublicCaller or the name of a service.
	Caller string
	// BodyBytes is the size of the body.
	BodyBytes int
}

// Explain returns how this node would handle req now, and why: the route that matches, whether
// the caller is allowed, the candidate servers, and in which order they would be tried. It sends no request
// and changes nothing.
func (q *Querier) Explain(req Request) statusapi.Explanation {
	e := statusapi.Explanation{
		APIVersion:  statusapi.APIVersion,
		VM:          q.State.Identity.VM,
		Evacuations: q.evacuations(q.State.Fleet()),
	}
	snap := q.State.Snapshot()
	if snap == nil {
		e.Outcome = statusapi.OutcomeNoRelease
		e.Reason = ErrNoRelease.Error()
		return e
	}
	e.Held = snap.Version
	if held := q.State.Held(); held != nil {
		e.HeldForMs = q.Now().Sub(held.Since).Milliseconds()
	}
	t, err := target.Parse(req.Method, req.Target, req.Host)
	if err != nil {
		e.Outcome = statusapi.OutcomeInvalid
		e.Reason = err.Error()
		return e
	}
	match := snap.MatchRoute(t.Host, req.Method, t.Path)
	if match == nil {
		e.Outcome = statusapi.OutcomeNoRoute
		e.Reason = noRouteReason(snap, t)
		return e
	}
	e.Route = explainRoute(match)
	if !match.Owner.Allows(req.Caller) {
		e.Outcome = statusapi.OutcomeForbidden
		e.Reason = fmt.Sprintf("the callers of service %s do not include %q", match.Owner.Name, req.Caller)
		return e
	}
	s := subject{Request: workload.Request{Route: match.Route.Name, Method: req.Method, Caller: req.Caller, BodyBytes: req.BodyBytes}}
	if e.Work = q.expectedWork(s.Request); e.Work != nil {
		s.work = time.Duration(e.Work.WorkMs) * time.Millisecond
	}
	if q.Plan != nil {
		plan := q.Plan(q.Now(), snap, match, s.Request)
		e.Plan, s.rank = &plan, plan.Rank
	}
	for _, service := range targets(match) {
		e.Candidates = append(e.Candidates, q.candidates(service, &s)...)
	}
	e.Outcome, e.Reason = classify(e.Candidates)
	applyPlan(&e)
	return e
}

// targets returns the names of the services to which the requests of a route go.
func targets(m *mesh.Match) []string {
	names := []string{m.Target.Name}
	for _, part := range m.Parts {
		names = append(names, part.Service.Name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if len(m.Parts) == 0 {
		return names
	}
	return slices.DeleteFunc(names, func(name string) bool {
		return !slices.ContainsFunc(m.Parts, func(p mesh.MatchPart) bool { return p.Service.Name == name })
	})
}

// applyPlan replaces the outcome that follows from the candidates by that of the plan, which also has what
// each candidate alone doesn't show: suspect servers are used if no other is left, and requests are refused
// if all servers would start them too late.
func applyPlan(e *statusapi.Explanation) {
	if e.Plan == nil {
		return
	}
	if r := e.Plan.Refusal; r != nil {
		e.Outcome, e.Reason = statusapi.OutcomeRefused, r.Reason
		return
	}
	for _, t := range e.Plan.Targets {
		if len(t.Attempts) > 0 {
			e.Outcome, e.Reason = statusapi.OutcomeRouted, ""
			return
		}
	}
	if e.Outcome == statusapi.OutcomeRouted {
		e.Outcome, e.Reason = statusapi.OutcomeRefused, e.Plan.Targets[0].Refusal.Reason
	}
}

// ExplainVM returns whether this node sends calls to the VM with the given ID, and why.
func (q *Querier) ExplainVM(id string) statusapi.VMExplanation {
	e := statusapi.VMExplanation{
		APIVersion: statusapi.APIVersion,
		VM:         q.State.Identity.VM,
		Subject:    statusapi.Candidate{VM: id},

		Evacuations: q.evacuations(q.State.Fleet()),
	}
	vm := q.State.Fleet().VM(id)
	if vm != nil {
		e.Listed = true
		e.Service = vm.Service
		for _, c := range q.candidates(vm.Service, nil) {
			if c.VM == id {
				e.Subject = c
			}
		}
	}
	if snap := q.State.Snapshot(); snap != nil {
		e.Held = snap.Version
		e.Configured = snap.Service(e.Service) != nil
		e.Routes = routesTo(snap, e.Service)
	}
	return e
}

// routesTo returns the routes whose target is the given service.
func routesTo(snap *mesh.Snapshot, service string) []statusapi.RouteName {
	var routes []statusapi.RouteName
	for _, svc := range snap.Services() {
		for _, r := range svc.Routes {
			if r.Service == service {
				routes = append(routes, statusapi.RouteName{Service: svc.Name, Route: r.Name})
			}
		}
	}
	return routes
}

// noRouteReason returns which part of a request matches no route: the host, the method or the
// path.
func noRouteReason(snap *mesh.Snapshot, t target.Target) string {
	var methods []string
	for _, svc := range snap.Services() {
		for _, r := range svc.Routes {
			for _, method := range r.Methods {
				if m := snap.MatchRoute(t.Host, method, t.Path); m != nil && m.Route.Name == r.Name && m.Owner == svc {
					methods = append(methods, method)
				}
			}
		}
	}
	slices.Sort(methods)
	methods = slices.Compact(methods)
	switch {
	case !snap.HasHost(t.Host):
		return fmt.Sprintf("no questionnaire names host %q", t.Host)
	case len(methods) > 0:
		return fmt.Sprintf("the path has routes for %s only", strings.Join(methods, ", "))
	default:
		return fmt.Sprintf("no route of host %q has a prefix of path %q", t.Host, t.Path)
	}
}

// classify derives the outcome and its reason from the candidates. One that isn't excluded is
// enough for OutcomeRouted.
func classify(candidates []statusapi.Candidate) (statusapi.Outcome, string) {
	if len(candidates) == 0 {
		return statusapi.OutcomeNoServer, "no VM of the service is listed"
	}
	evacuated := 0
	for _, c := range candidates {
		if c.Excluded == "" {
			return statusapi.OutcomeRouted, ""
		}
		if strings.HasPrefix(c.Excluded, excludedEvacuated) {
			evacuated++
		}
	}
	if evacuated == len(candidates) {
		return statusapi.OutcomeNoServer, "the failure domain of every server is evacuated"
	}
	return statusapi.OutcomeNoServer, "every server is excluded"
}

// explainRoute describes a matching route, with the questionnaire's answers that define it.
func explainRoute(m *mesh.Match) *statusapi.ExplainedRoute {
	r := m.Route
	route := &statusapi.ExplainedRoute{
		Service:    m.Owner.Name,
		Name:       r.Name,
		Target:     m.Target.Name,
		Resource:   m.Resource.Name,
		Callers:    m.Owner.Callers,
		Priority:   string(m.Owner.Priority),
		Idempotent: r.Idempotent,
		Attempts:   r.Retry.Attempts,
		Statuses:   r.Retry.Statuses,
		RetryRule:  retryRule(r),
		DeadlineMs: int64(r.Deadline),
	}
	prefix := fmt.Sprintf("routes[%s].", r.Name)
	for _, a := range questionnaire.Answers(m.Owner) {
		if strings.HasPrefix(a.Path, prefix) {
			route.Answers = append(route.Answers, statusapi.RouteAnswer{Path: a.Path, Text: a.Text})
		}
	}
	return route
}

// retryRule returns a sentence for operators on when a call of r is retried.
func retryRule(r *mesh.Route) string {
	switch {
	case r.Retry.Attempts == 1:
		return "never tried again"
	case !r.Idempotent:
		return fmt.Sprintf("up to %d attempts, another one only after an attempt that did not run", r.Retry.Attempts)
	case len(r.Retry.Statuses) == 0:
		return fmt.Sprintf("up to %d attempts, another one after an attempt without an answer", r.Retry.Attempts)
	default:
		return fmt.Sprintf("up to %d attempts, another one after an attempt without an answer or with status %s",
			r.Retry.Attempts, strings.Trim(strings.ReplaceAll(fmt.Sprint(r.Retry.Statuses), " ", ", "), "[]"))
	}
}
