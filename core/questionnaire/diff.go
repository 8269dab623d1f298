package questionnaire

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/yamlcheck"
)

// Change is an answer that differs between two releases.
type Change struct {
	Service string `json:"service"`
	// Answer is the path of the answer. Items of lists are identified by name, such as
	// "routes[book].deadline". It is "" for a service that was added or removed.
	Answer string `json:"answer,omitempty"`
	// Before and After are the answers as text, "" if there was or is none. For a service
	// that was added or removed, one of them is "present".
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the answers that differ between two snapshots, sorted by service and
// path.
func Diff(before, after *mesh.Snapshot) []Change {
	var changes []Change
	for _, s := range before.Services() {
		if after.Service(s.Name) == nil {
			changes = append(changes, Change{Service: s.Name, Before: "present"})
		}
	}
	for _, s := range after.Services() {
		old := before.Service(s.Name)
		if old == nil {
			changes = append(changes, Change{Service: s.Name, After: "present"})
			continue
		}
		changes = append(changes, diffAnswers(s.Name, Answers(old), Answers(s))...)
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Service, b.Service) })
	return changes
}

func diffAnswers(service string, before, after []Answer) []Change {
	old := byPath(before)
	current := byPath(after)
	var changes []Change
	for _, a := range before {
		if _, kept := current[a.Path]; !kept {
			changes = append(changes, Change{Service: service, Answer: a.Path, Before: a.Text})
		}
	}
	for _, a := range after {
		if old[a.Path] != a.Text {
			changes = append(changes, Change{Service: service, Answer: a.Path, Before: old[a.Path], After: a.Text})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Answer, b.Answer) })
	return changes
}

func byPath(answers []Answer) map[string]string {
	texts := make(map[string]string, len(answers))
	for _, a := range answers {
		texts[a.Path] = a.Text
	}
	return texts
}

// Answer is one answer of a questionnaire as text.
type Answer struct {
	// Path has the form that is described at Change.Answer.
	Path string `json:"path"`
	Text string `json:"text"`
}

// Answers returns the answers that compile to s, in the order of the questionnaire's
// fields. Optional answers that were not given and have no default are omitted.
func Answers(s *mesh.Service) []Answer {
	var all []Answer
	q := FromService(s)
	flatten("", reflect.ValueOf(q), func(a Answer) { all = append(all, a) })
	return all
}

// flatten calls emit with every answer in v. Paths consist of the yaml tags of fields
// and, for items of lists, of the items' Name fields.
func flatten(path string, v reflect.Value, emit func(Answer)) {
	_, isText := v.Interface().(fmt.Stringer)
	switch {
	case v.Kind() == reflect.Struct:
		for _, f := range reflect.VisibleFields(v.Type()) {
			flatten(strings.TrimPrefix(path+"."+f.Tag.Get("yaml"), "."), v.FieldByIndex(f.Index), emit)
		}
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			name := v.Index(i).FieldByName("Name").String()
			flatten(fmt.Sprintf("%s[%s]", path, name), v.Index(i), emit)
		}
	case v.Kind() == reflect.Slice:
		text := fmt.Sprint(v.Interface())
		emit(Answer{Path: path, Text: strings.ReplaceAll(text, " ", ", ")})
	case isText || !v.IsZero() || v.Kind() == reflect.Bool:
		emit(Answer{Path: path, Text: fmt.Sprint(v.Interface())})
	}
}

// FromService is the inverse of ToService, except that lists are in canonical order and
// every route names its target service.
func FromService(s *mesh.Service) Questionnaire {
	q := Questionnaire{
		Service:  s.Name,
		Hosts:    s.Hosts,
		Callers:  s.Callers,
		Priority: string(s.Priority),
		Servers: Servers{
			Slots:       s.Server.Slots,
			Connections: s.Server.Connections,
			SlowStart:   yamlcheck.Duration(s.Server.SlowStart.Duration()),
			DrainPath:   s.Server.DrainPath,
		},
		Stop: Stop{How: string(s.Stop.Method), Path: s.Stop.Path, Grace: yamlcheck.Duration(s.Stop.Grace.Duration())},
	}
	for _, r := range s.Resources {
		q.Resources = append(q.Resources, Resource{
			Name:        r.Name,
			MaxRequest:  yamlcheck.Size(r.MaxRequestBytes),
			MaxResponse: yamlcheck.Size(r.MaxResponseBytes),
		})
	}
	for _, r := range s.Routes {
		q.Routes = append(q.Routes, fromRoute(r))
	}
	return q
}

func fromRoute(r *mesh.Route) Route {
	return Route{
		Name:       r.Name,
		Methods:    r.Methods,
		Path:       r.Prefix,
		Service:    r.Service,
		Resource:   r.Resource,
		Idempotent: r.Idempotent,
		Retry:      Retry{Attempts: r.Retry.Attempts, Statuses: r.Retry.Statuses},
		Deadline:   yamlcheck.Duration(time.Duration(r.Deadline) * time.Millisecond),
	}
}
