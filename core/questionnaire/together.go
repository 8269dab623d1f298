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

// directory finds contradictions between the questionnaires of one deployment.
type directory struct {
	all      []*Parsed
	services map[string]*Parsed
	failures yamlcheck.FieldErrors
}

func checkTogether(all []*Parsed) yamlcheck.FieldErrors {
	d := &directory{all: all, services: make(map[string]*Parsed, len(all))}
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

func (d *directory) fail(p *Parsed, field, found, expected string) {
	problem := yamlcheck.Problem{Field: field, Found: found, Expected: expected}
	d.failures = append(d.failures, p.document.Locate(problem))
}

func (d *directory) checkServices() {
	for _, p := range d.all {
		first, taken := d.services[p.Service]
		if taken && p.Service != "" {
			d.fail(p, "service", fmt.Sprintf("%q, which %s describes already", p.Service, first.document.File()), "one questionnaire for each service")
			continue
		}
		d.services[p.Service] = p
	}
}

func (d *directory) checkHosts() {
	owners := make(map[string]*Parsed)
	for _, p := range d.all {
		for i, h := range p.Hosts {
			if first, taken := owners[h]; taken && first != p {
				d.fail(p, fmt.Sprintf("hosts[%d]", i), fmt.Sprintf("%q, which %s has already", h, first.document.File()), "a host of its own")
				continue
			}
			owners[h] = p
		}
	}
}

func (d *directory) checkCallers(p *Parsed) {
	for i, c := range p.Callers {
		if c != mesh.PublicCaller && d.services[c] == nil {
			d.fail(p, fmt.Sprintf("callers[%d]", i), strconv.Quote(c), d.expectedService(c, mesh.PublicCaller))
		}
	}
}

func (d *directory) checkRoutes(p *Parsed) {
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

func (d *directory) checkTarget(p *Parsed, field string, r *Route, target *Parsed) {
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
		d.fail(p, field+"deadline", found, "a deadline within the grace, so that a planned stop cuts no request; or a longer grace")
	}
}

func (d *directory) expectedService(misspelt string, more ...string) string {
	names := slices.Clone(more)
	for _, p := range d.all {
		names = append(names, p.Service)
	}
	return suggest("one of "+strings.Join(names, ", "), misspelt, names)
}

func suggest(expected, misspelt string, names []string) string {
	if near := yamlcheck.Nearest(misspelt, names); near != "" {
		return fmt.Sprintf("%s; perhaps %q", expected, near)
	}
	return expected
}

// target returns the service that holds the route's resource.
func (r *Route) target(own string) string {
	if r.Service == "" {
		return own
	}
	return r.Service
}

func fieldErrors(err error) yamlcheck.FieldErrors {
	var all yamlcheck.FieldErrors
	errors.As(err, &all)
	return all
}
