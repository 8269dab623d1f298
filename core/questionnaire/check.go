package questionnaire

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"auburnladder.example/core/yamlcheck"
)

// Bounds on answers.
const (
	maxAttempts    = 10
	minRetryStatus = 400
	maxRetryStatus = 599
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	priorities  = []string{"low", "normal", "high"}
	stopMethods = []string{"http", "none"}
	httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

const (
	expectedName = "lower-case letters, digits and hyphens"
	expectedPath = "a path that starts with /"
)

// problems collects what Validate returns.
type problems []yamlcheck.Problem

func (p *problems) add(field, found, expected string) {
	*p = append(*p, yamlcheck.Problem{Field: field, Found: found, Expected: expected})
}

// contradict adds a problem between the answers in field and related.
func (p *problems) contradict(field, related, found, expected string) {
	*p = append(*p, yamlcheck.Problem{Field: field, Related: related, Found: found, Expected: expected})
}

// requireOneOf checks value against names and suggests the nearest of them.
func (p *problems) requireOneOf(field, value string, names []string) {
	if slices.Contains(names, value) {
		return
	}
	expected := "one of " + strings.Join(names, ", ")
	if near := yamlcheck.Nearest(strings.ToLower(value), lower(names)); near != "" {
		expected += fmt.Sprintf("; perhaps %q", names[slices.Index(lower(names), near)])
	}
	p.add(field, strconv.Quote(value), expected)
}

func (p *problems) requireMatch(field, value string, pattern *regexp.Regexp, expected string) {
	if !pattern.MatchString(value) {
		p.add(field, strconv.Quote(value), expected)
	}
}

func (p *problems) requirePath(field, value string) {
	if !strings.HasPrefix(value, "/") {
		p.add(field, strconv.Quote(value), expectedPath)
	}
}

func (p *problems) requireMillis(field string, d yamlcheck.Duration, least time.Duration) {
	if d.Std()%time.Millisecond != 0 || d.Std() < least {
		p.add(field, d.String(), fmt.Sprintf("whole milliseconds, at least %s", least))
	}
}

func (p *problems) requireDistinct(field string, names []string) {
	if len(names) == 0 {
		p.add(field, "an empty list", "at least one item")
	}
	for i, name := range names {
		if slices.Index(names, name) < i {
			p.add(fmt.Sprintf("%s[%d]", field, i), fmt.Sprintf("%q a second time", name), "it once")
		}
	}
}

// Validate implements yamlcheck.Validator with the checks within one questionnaire.
func (q *Questionnaire) Validate() []yamlcheck.Problem {
	var p problems
	p.requireMatch("service", q.Service, namePattern, expectedName)
	p.requireDistinct("hosts", q.Hosts)
	for i, h := range q.Hosts {
		p.requireMatch(fmt.Sprintf("hosts[%d]", i), h, hostPattern, "a host name in lower case without port")
	}
	p.requireDistinct("callers", q.Callers)
	for i, c := range q.Callers {
		p.requireMatch(fmt.Sprintf("callers[%d]", i), c, namePattern, "public or the name of a service")
	}
	p.requireOneOf("priority", q.Priority, priorities)
	p.requireNamed("resources", resourceNames(q.Resources))
	p.requireNamed("routes", routeNames(q.Routes))
	q.checkOverlaps(&p)
	return p
}

// requireNamed checks the name answers of a list of mappings.
func (p *problems) requireNamed(field string, names []string) {
	if len(names) == 0 {
		p.add(field, "an empty list", "at least one item")
	}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d].name", field, i)
		p.requireMatch(at, name, namePattern, expectedName)
		if slices.Index(names, name) < i {
			p.add(at, fmt.Sprintf("%q a second time", name), "a name of its own")
		}
	}
}

// checkOverlaps finds routes that claim one method of one path.
func (q *Questionnaire) checkOverlaps(p *problems) {
	owners := make(map[string]string)
	for i, r := range q.Routes {
		for _, m := range r.Methods {
			claim := m + " " + r.Path
			if owner, taken := owners[claim]; taken && owner != r.Name {
				p.add(fmt.Sprintf("routes[%d].path", i), fmt.Sprintf("%s, which route %q has already", claim, owner), "another path or method")
				continue
			}
			owners[claim] = r.Name
		}
	}
}

// Validate implements yamlcheck.Validator.
func (s *Servers) Validate() []yamlcheck.Problem {
	var p problems
	if s.Slots < 1 {
		p.add("slots", strconv.Itoa(s.Slots), "1 or more")
	}
	if s.Connections < max(s.Slots, 1) {
		p.contradict("connections", "slots", strconv.Itoa(s.Connections), fmt.Sprintf("at least slots, which is %d", s.Slots))
	}
	p.requireMillis("slow_start", s.SlowStart, 0)
	if s.DrainPath != "" {
		p.requirePath("drain_path", s.DrainPath)
	}
	return p
}

// Validate implements yamlcheck.Validator.
func (s *Stop) Validate() []yamlcheck.Problem {
	var p problems
	p.requireOneOf("how", s.How, stopMethods)
	p.requireMillis("grace", s.Grace, time.Millisecond)
	switch {
	case s.How == "http":
		p.requirePath("path", s.Path)
	case s.How == "none" && s.Path != "":
		p.contradict("path", "how", strconv.Quote(s.Path), "no path with how: none; or how: http")
	}
	return p
}

// Validate implements yamlcheck.Validator.
func (r *Resource) Validate() []yamlcheck.Problem {
	var p problems
	if r.MaxRequest < 1 {
		p.add("max_request", r.MaxRequest.String(), "1B or more")
	}
	if r.MaxResponse < 1 {
		p.add("max_response", r.MaxResponse.String(), "1B or more")
	}
	return p
}

// Validate implements yamlcheck.Validator.
func (r *Route) Validate() []yamlcheck.Problem {
	var p problems
	p.requireDistinct("methods", r.Methods)
	for i, m := range r.Methods {
		p.requireOneOf(fmt.Sprintf("methods[%d]", i), m, httpMethods)
	}
	p.requirePath("path", r.Path)
	p.requireMillis("deadline", r.Deadline, time.Millisecond)
	r.checkRetry(&p)
	return p
}

func (r *Route) checkRetry(p *problems) {
	if r.Retry.Attempts < 1 || r.Retry.Attempts > maxAttempts {
		p.add("retry.attempts", strconv.Itoa(r.Retry.Attempts), fmt.Sprintf("1 to %d, the first attempt included", maxAttempts))
	}
	for i, s := range r.Retry.Statuses {
		if s < minRetryStatus || s > maxRetryStatus {
			p.add(fmt.Sprintf("retry.statuses[%d]", i), strconv.Itoa(s), fmt.Sprintf("an HTTP status from %d to %d", minRetryStatus, maxRetryStatus))
		}
	}
	if len(r.Retry.Statuses) == 0 {
		return
	}
	if !r.Idempotent {
		p.contradict("retry.statuses", "idempotent", "statuses on a route with idempotent: false", "no statuses, as the answer shows that the request ran; or idempotent: true")
	}
	if r.Retry.Attempts == 1 {
		p.contradict("retry.statuses", "retry.attempts", "statuses with attempts: 1", "attempts: 2 or more; or no statuses")
	}
}

func lower(names []string) []string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = strings.ToLower(n)
	}
	return out
}

func resourceNames(resources []Resource) []string {
	names := make([]string, len(resources))
	for i, r := range resources {
		names[i] = r.Name
	}
	return names
}

func routeNames(routes []Route) []string {
	names := make([]string, len(routes))
	for i, r := range routes {
		names[i] = r.Name
	}
	return names
}
