package questionnaire

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/yamlcheck"
)

// deploymentChecker checks the questionnaires of one deployment against each other.
type deploymentChecker struct {
	all []*Parsed
	// services is indexed by name. The first questionnaire of a service is kept.
	services map[string]*Parsed
	failures yamlcheck.FieldErrors
}

// checkDeployment returns the errors that concern more than one questionnaire. It checks
// callers and routes only of files that have no errors themselves, to avoid errors that
// merely follow from others.
func checkDeployment(all []*Parsed) yamlcheck.FieldErrors {
	d := &deploymentChecker{all: all, services: make(map[string]*Parsed, len(all))}
	d.checkServices()
	d.checkHosts()
	for _, p := range all {
		if p.document.Valid() {
			d.checkCallers(p)
			d.checkRoutes(p)
		}
	}
	return d.failures
}

func (d *deploymentChecker) fail(p *Parsed, field, found, expected string) {
	problem := yamlcheck.Problem{Field: field, Found: found, Expected: expected}
	d.failures = append(d.failures, p.document.Locate(problem))
}

func (d *deploymentChecker) checkServices() {
	for _, p := range d.all {
		first, duplicate := d.services[p.Service]
		if duplicate && p.Service != "" {
			d.fail(p, "service", fmt.Sprintf("%q, which %s already describes", p.Service, first.document.File()), "one questionnaire for each service")
			continue
		}
		d.services[p.Service] = p
	}
}

func (d *deploymentChecker) checkHosts() {
	firstByHost := make(map[string]*Parsed)
	for _, p := range d.all {
		for i, h := range p.Hosts {
			if first, duplicate := firstByHost[h]; duplicate && first != p {
				d.fail(p, fmt.Sprintf("hosts[%d]", i), fmt.Sprintf("%q, which %s already has", h, first.document.File()), "a host that no other service has")
				continue
			}
			firstByHost[h] = p
		}
	}
}

func (d *deploymentChecker) checkCallers(p *Parsed) {
	for i, c := range p.Callers {
		if c != mesh.PublicCaller && d.services[c] == nil {
			d.fail(p, fmt.Sprintf("callers[%d]", i), strconv.Quote(c), d.expectedService(c, mesh.PublicCaller))
		}
	}
}

func (d *deploymentChecker) checkRoutes(p *Parsed) {
	for i := range p.Routes {
		r := &p.Routes[i]
		field := fmt.Sprintf("routes[%d].", i)
		target := d.services[r.target(p.Service)]
		if target == nil {
			d.fail(p, field+"service", strconv.Quote(r.Service), d.expectedService(r.Service))
			continue
		}
		if !target.document.Valid() {
			continue
		}
		d.checkTarget(p, field, r, target)
	}
}

// checkTarget checks route r of p, whose path is field, against the questionnaire of its
// target service.
func (d *deploymentChecker) checkTarget(p *Parsed, field string, r *Route, target *Parsed) {
	names := resourceNames(target.Resources)
	if !slices.Contains(names, r.Resource) {
		expected := fmt.Sprintf("a resource of %s: %s", target.Service, strings.Join(names, ", "))
		d.fail(p, field+"resource", strconv.Quote(r.Resource), suggest(expected, r.Resource, names))
	}
	if target != p && !slices.Contains(target.Callers, p.Service) {
		found := fmt.Sprintf("%q, whose callers do not include %q", target.Service, p.Service)
		expected := fmt.Sprintf("%q among the callers in %s", p.Service, target.document.File())
		d.fail(p, field+"service", found, expected)
	}
	if r.Deadline > target.Stop.Grace {
		found := fmt.Sprintf("%s, longer than stop.grace of %s, which is %s", r.Deadline, target.Service, target.Stop.Grace)
		d.fail(p, field+"deadline", found, "a deadline within the grace, so that a planned stop aborts no request; or a longer grace")
	}
}

// expectedService lists the names of all services and extra, with a suggestion for the
// misspelt name.
func (d *deploymentChecker) expectedService(misspelt string, extra ...string) string {
	names := slices.Clone(extra)
	for _, p := range d.all {
		names = append(names, p.Service)
	}
	return suggest("one of "+strings.Join(names, ", "), misspelt, names)
}

// suggest appends to expected the name that is nearest to misspelt, if one is near.
func suggest(expected, misspelt string, names []string) string {
	if near := yamlcheck.Nearest(misspelt, names); near != "" {
		return fmt.Sprintf("%s; perhaps %q", expected, near)
	}
	return expected
}

// target returns the service that has the route's resource. owner is the service whose
// questionnaire declares the route.
func (r *Route) target(owner string) string {
	if r.Service == "" {
		return owner
	}
	return r.Service
}

// fieldErrors returns the FieldErrors in err, nil if there are none.
func fieldErrors(err error) yamlcheck.FieldErrors {
	var all yamlcheck.FieldErrors
	errors.As(err, &all)
	return all
}
