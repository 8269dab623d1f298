// Package questionnaire defines the questions that a team answers about its
// service, checks the answers and compiles them into a release.
package questionnaire

import (
	"auburnladder.example/core/yamlcheck"
)

// Questionnaire holds one team's answers about its service.
type Questionnaire struct {
	// Service is the name of the service.
	Service string `yaml:"service" check:"required"`
	// Hosts are the HTTP authorities under which callers reach the service.
	Hosts []string `yaml:"hosts" check:"required"`
	// Callers lists who may call: "public" or names of services.
	Callers []string `yaml:"callers" check:"required"`
	// Priority is low, normal or high: low is refused first under overload.
	Priority  string     `yaml:"priority" check:"required"`
	Servers   Servers    `yaml:"servers" check:"required"`
	Stop      Stop       `yaml:"stop" check:"required"`
	Resources []Resource `yaml:"resources" check:"required"`
	Routes    []Route    `yaml:"routes" check:"required"`
}

// Servers describes the limits of each backend server.
type Servers struct {
	// Slots is the number of requests that a server works on at once.
	Slots int `yaml:"slots" check:"required"`
	// Connections bounds the connections to a server.
	Connections int `yaml:"connections" check:"required"`
	// SlowStart is how long a cold server takes to reach full speed.
	SlowStart yamlcheck.Duration `yaml:"slow_start" check:"required"`
	// DrainPath answers with status 503 once the server wants to leave.
	DrainPath string `yaml:"drain_path"`
}

// Stop says how a backend server is stopped.
type Stop struct {
	// How is http, for a POST request to Path, or none.
	How  string `yaml:"how" check:"required"`
	Path string `yaml:"path"`
	// Grace bounds how long requests in flight may take to end.
	Grace yamlcheck.Duration `yaml:"grace" check:"required"`
}

// Resource is something that the service holds and that routes lead to.
type Resource struct {
	Name string `yaml:"name" check:"required"`
	// MaxRequest and MaxResponse bound the bodies.
	MaxRequest  yamlcheck.Size `yaml:"max_request" check:"required"`
	MaxResponse yamlcheck.Size `yaml:"max_response" check:"required"`
}

// Route leads requests to a resource.
type Route struct {
	Name    string   `yaml:"name" check:"required"`
	Methods []string `yaml:"methods" check:"required"`
	// Path matches whole path segments from the start of a request's path.
	Path string `yaml:"path" check:"required"`
	// Service holds the resource; "" means the service of this questionnaire.
	Service  string `yaml:"service"`
	Resource string `yaml:"resource" check:"required"`
	// Idempotent says whether a request may run twice without harm.
	Idempotent bool  `yaml:"idempotent" check:"required"`
	Retry      Retry `yaml:"retry" check:"required"`
	// Deadline bounds a call, all attempts included.
	Deadline yamlcheck.Duration `yaml:"deadline" check:"required"`
}

// Retry says what may be tried again. A request that is not idempotent is tried
// again only after an attempt that did not run.
type Retry struct {
	// Attempts bounds the attempts in all, the first one included.
	Attempts int `yaml:"attempts" check:"required"`
	// Statuses lists the HTTP statuses of a server that allow another attempt.
	Statuses []int `yaml:"statuses"`
}

// File is the content of one questionnaire file.
type File struct {
	Name string
	Data []byte
}

// Parsed is a valid questionnaire with the places of its answers.
type Parsed struct {
	Questionnaire
	document *yamlcheck.Document
}

// Parse decodes and checks all questionnaires of a deployment together. Errors are
// yamlcheck.FieldErrors with every error of every file.
func Parse(files []File) ([]*Parsed, error) {
	var all []*Parsed
	var failures yamlcheck.FieldErrors
	for _, f := range files {
		p := &Parsed{}
		doc, err := yamlcheck.DecodeDocument(f.Name, f.Data, &p.Questionnaire)
		failures = append(failures, fieldErrors(err)...)
		if doc != nil {
			p.document = doc
			all = append(all, p)
		}
	}
	failures = append(failures, checkTogether(all)...)
	if len(failures) > 0 {
		failures.Sort()
		return nil, failures
	}
	return all, nil
}
