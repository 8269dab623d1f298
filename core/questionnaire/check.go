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

// Bounds on the answers about retries.
const (
	// maxAttempts includes the first attempt.
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

// problems collects the result of a Validate method.
type problems []yamlcheck.Problem

func (p *problems) report(field, found, expected string) {
	*p = append(*p, yamlcheck.Problem{Field: field, Found: found, Expected: expected})
}

// reportConflict adds a problem with field that results from the answer in related. It
// is dropped if related has an error itself.
func (p *problems) reportConflict(field, related, found, expected string) {
	*p = append(*p, yamlcheck.Problem{Field: field, Related: related, Found: found, Expected: expected})
}

// requireOneOf reports a value that is not in names, with the nearest name as a
// suggestion. The search for the nearest name ignores case.
func (p *problems) requireOneOf(field, value string, names []string) {
	if slices.Contains(names, value) {
		return
	}
	expected := "one of " + strings.Join(names, ", ")
	if near := yamlcheck.Nearest(strings.ToLower(value), lowerAll(names)); near != "" {
		expected += fmt.Sprintf("; perhaps %q", names[slices.Index(lowerAll(names), near)])
	}
	p.report(field, strconv.Quote(value), expected)
}

func (p *problems) requireMatch(field, value string, pattern *regexp.Regexp, expected string) {
	if !pattern.MatchString(value) {
		p.report(field, strconv.Quote(value), expected)
	}
}

func (p *problems) requirePath(field, value string) {
	if !strings.HasPrefix(value, "/") {
		p.report(field, strconv.Quote(value), expectedPath)
	}
}

// requireMillis reports a duration that is below minimum or has a fraction of a
// millisecond, the unit in which durations are compiled.
func (p *problems) requireMillis(field string, d yamlcheck.Duration, minimum time.Duration) {
	if d.Std()%time.Millisecond != 0 || d.Std() < minimum {
		p.report(field, d.String(), fmt.Sprintf("whole milliseconds, at least %s", minimum))
	}
}

// requireDistinct reports an empty list and each duplicate item.
func (p *problems) requireDistinct(field string, names []string) {
	if len(names) == 0 {
		p.report(field, "an empty list", "at least one item")
	}
	for i, name := range names {
		if slices.Index(names, name) < i {
			p.report(fmt.Sprintf("%s[%d]", field, i), fmt.Sprintf("a duplicate %q", name), "each item once")
		}
	}
}

// Validate implements yamlcheck.Validator with the checks within one questionnaire.
// Checks across questionnaires are in checkDeployment.
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
	p.requireNames("resources", resourceNames(q.Resources))
	p.requireNames("routes", routeNames(q.Routes))
	q.checkOverlaps(&p)
	return p
}

// requireNames checks the names of the items in a list of mappings: the list must not
// be empty, and each name must be valid and unique.
func (p *problems) requireNames(field string, names []string) {
	if len(names) == 0 {
		p.report(field, "an empty list", "at least one item")
	}
	for i, name := range names {
		nameField := fmt.Sprintf("%s[%d].name", field, i)
		p.requireMatch(nameField, name, namePattern, expectedName)
		if slices.Index(names, name) < i {
			p.report(nameField, fmt.Sprintf("a duplicate %q", name), "a unique name")
		}
	}
}

// checkOverlaps reports routes that have both a method and the path in common.
func (q *Questionnaire) checkOverlaps(p *problems) {
	routeByEndpoint := make(map[string]string)
	for i, r := range q.Routes {
		for _, m := range r.Methods {
			endpoint := m + " " + r.Path
			if first, duplicate := routeByEndpoint[endpoint]; duplicate && first != r.Name {
				p.report(fmt.Sprintf("routes[%d].path", i), fmt.Sprintf("%s, which route %q already has", endpoint, first), "another path or method")
				continue
			}
			routeByEndpoint[endpoint] = r.Name
		}
	}
}

// Validate implements yamlcheck.Validator.
func (s *Servers) Validate() []yamlcheck.Problem {
	var p problems
	if s.Slots < 1 {
		p.report("slots", strconv.Itoa(s.Slots), "1 or more")
	}
	if s.Connections < max(s.Slots, 1) {
		p.reportConflict("connections", "slots", strconv.Itoa(s.Connections), fmt.Sprintf("at least slots, which is %d", s.Slots))
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
		p.reportConflict("path", "how", strconv.Quote(s.Path), "no path with how: none; or how: http")
	}
	return p
}

// Validate implements yamlcheck.Validator.
func (r *Resource) Validate() []yamlcheck.Problem {
	var p problems
	if r.MaxRequest < 1 {
		p.report("max_request", r.MaxRequest.String(), "1B or more")
	}
	if r.MaxResponse < 1 {
		p.report("max_response", r.MaxResponse.String(), "1B or more")
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
		p.report("retry.attempts", strconv.Itoa(r.Retry.Attempts), fmt.Sprintf("1 to %d, including the first attempt", maxAttempts))
	}
	for i, s := range r.Retry.Statuses {
		if s < minRetryStatus || s > maxRetryStatus {
			p.report(fmt.Sprintf("retry.statuses[%d]", i), strconv.Itoa(s), fmt.Sprintf("an HTTP status from %d to %d", minRetryStatus, maxRetryStatus))
		}
	}
	if len(r.Retry.Statuses) == 0 {
		return
	}
	if !r.Idempotent {
		p.reportConflict("retry.statuses", "idempotent", "statuses on a route with idempotent: false", "no statuses, as the response shows that the request ran; or idempotent: true")
	}
	if r.Retry.Attempts == 1 {
		p.reportConflict("retry.statuses", "retry.attempts", "statuses with attempts: 1", "attempts: 2 or more; or no statuses")
	}
}

func lowerAll(names []string) []string {
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
