// Package questionnaire defines the questionnaire in which a team describes its service,
// checks the answers, compiles them into a release, and compares releases by answer.
package questionnaire

import (
	"auburnladder.example/core/yamlcheck"
)

// Questionnaire holds the answers of one team about its service.
type Questionnaire struct {
	// Service is the name of the service.
	Service string `yaml:"service" check:"required"`
	// Hosts lists the host names under which callers reach the service, in lower case and
	// without port.
	Hosts []string `yaml:"hosts" check:"required"`
	// Callers lists who may call the service: "public" for requests from outside the mesh,
	// or names of services.
	Callers []string `yaml:"callers" check:"required"`
	// Priority is low, normal or high. Under overload, calls to low are refused first.
	Priority  string     `yaml:"priority" check:"required"`
	Servers   Servers    `yaml:"servers" check:"required"`
	Stop      Stop       `yaml:"stop" check:"required"`
	Resources []Resource `yaml:"resources" check:"required"`
	Routes    []Route    `yaml:"routes" check:"required"`
}

// Servers describes the limits of each backend server.
type Servers struct {
	// Slots is the maximum number of requests that a server handles concurrently.
	Slots int `yaml:"slots" check:"required"`
	// Connections is the maximum number of connections to a server, at least Slots.
	Connections int `yaml:"connections" check:"required"`
	// SlowStart is the warm-up time of a server after its start; 0 if it needs none.
	SlowStart yamlcheck.Duration `yaml:"slow_start" check:"required"`
	// DrainPath is an optional path that returns status 503 once the server requests to be
	// drained.
	DrainPath string `yaml:"drain_path"`
}

// Stop describes how a backend server is stopped.
type Stop struct {
	// How is http, for a POST request to Path after the last request in flight has ended,
	// or none, if the platform stops the server.
	How  string `yaml:"how" check:"required"`
	Path string `yaml:"path"`
	// Grace is the maximum time for requests in flight to end. It must not be shorter than
	// the deadline of any route to the service.
	Grace yamlcheck.Duration `yaml:"grace" check:"required"`
}

// Resource is a kind of data that the service serves, the target of routes.
type Resource struct {
	Name string `yaml:"name" check:"required"`
	// MaxRequest and MaxResponse are the maximum sizes of bodies.
	MaxRequest  yamlcheck.Size `yaml:"max_request" check:"required"`
	MaxResponse yamlcheck.Size `yaml:"max_response" check:"required"`
}

// Route maps requests to a resource.
type Route struct {
	Name    string   `yaml:"name" check:"required"`
	Methods []string `yaml:"methods" check:"required"`
	// Path is a prefix of the request path. It matches whole path segments.
	Path string `yaml:"path" check:"required"`
	// Service is the service that has the resource; "" means the service of this
	// questionnaire.
	Service  string `yaml:"service"`
	Resource string `yaml:"resource" check:"required"`
	// Idempotent reports whether running a request twice has the same effect as running it
	// once.
	Idempotent bool  `yaml:"idempotent" check:"required"`
	Retry      Retry `yaml:"retry" check:"required"`
	// Deadline is the maximum duration of a call, including all attempts.
	Deadline yamlcheck.Duration `yaml:"deadline" check:"required"`
}

// Retry describes when a request is retried. A request that is not idempotent is retried
// only after an attempt that did not run.
type Retry struct {
	// Attempts is the maximum number of attempts, including the first.
	Attempts int `yaml:"attempts" check:"required"`
	// Statuses lists the HTTP statuses of a server's response after which the request is
	// retried. It is allowed only on idempotent routes.
	Statuses []int `yaml:"statuses"`
}

// File is a questionnaire file.
type File struct {
	// Name appears in errors.
	Name string
	Data []byte
}

// Parsed is a decoded questionnaire with the positions of its answers in the file.
type Parsed struct {
	Questionnaire
	document *yamlcheck.Document
}

// Parse decodes and checks all questionnaires of a deployment together. The error, if
// any, is a yamlcheck.FieldErrors with every error of every file, in which case no
// questionnaires are returned.
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
	failures = append(failures, checkDeployment(all)...)
	if len(failures) > 0 {
		failures.Sort()
		return nil, failures
	}
	return all, nil
}
