package mesh

import (
	"fmt"
	"math"
	"strings"
)

// FieldError reports an invalid field of a service's configuration.
type FieldError struct {
	Service string
	Field   string
	Reason  string
}

// Error returns "service: field: reason".
func (e *FieldError) Error() string {
	return fmt.Sprintf("service %q: %s: %s", e.Service, e.Field, e.Reason)
}

// Validate checks the fields of s. Build checks the references to other services.
func (s *Service) Validate() error {
	return s.validate(func(*Route) bool { return false })
}

// validate is Validate, but takes the routes for which valid returns true as valid.
func (s *Service) validate(valid func(*Route) bool) error {
	if s.Name == "" {
		return s.fieldError("name", "is missing")
	}
	if len(s.Hosts) == 0 && !s.allRoutesHaveHost() {
		return s.fieldError("hosts", "is empty")
	}
	if s.Server.Slots < 0 {
		return s.fieldError("server.slots", "must be 0 or more")
	}
	if s.Server.Connections < s.Server.Slots {
		return s.fieldError("server.connections", "must be at least server.slots")
	}
	if err := s.validateCold(); err != nil {
		return err
	}
	if err := s.validateStop(); err != nil {
		return err
	}
	if err := s.validateResources(); err != nil {
		return err
	}
	return s.validateRoutes(valid)
}

// allRoutesHaveHost reports whether every route overrides the service's hosts.
func (s *Service) allRoutesHaveHost() bool {
	for _, r := range s.Routes {
		if r != nil && r.Host == "" {
			return false
		}
	}
	return true
}

func (s *Service) validateCold() error {
	switch {
	case s.Server.ColdStart < 0:
		return s.fieldError("server.cold_start_ms", "must be 0 or more")
	case !(s.Server.ColdStartsPerSecond >= 0) || math.IsInf(s.Server.ColdStartsPerSecond, 0):
		return s.fieldError("server.cold_starts_per_second", "must be 0 or more")
	case s.Server.HealthPath != "" && !strings.HasPrefix(s.Server.HealthPath, "/"):
		return s.fieldError("server.health_path", "must start with /")
	}
	return nil
}

func (s *Service) validateStop() error {
	if s.Stop.Grace <= 0 {
		return s.fieldError("stop.grace_ms", "must be 1 or more")
	}
	switch s.Stop.Method {
	case StopNone:
		return nil
	case StopHTTP:
		if !strings.HasPrefix(s.Stop.Path, "/") {
			return s.fieldError("stop.path", "must start with /")
		}
		return nil
	default:
		return s.fieldError("stop.method", fmt.Sprintf("unknown method %q, expected http or none", s.Stop.Method))
	}
}

func (s *Service) validateResources() error {
	seen := make(map[string]bool, len(s.Resources))
	for i, r := range s.Resources {
		field := fmt.Sprintf("resources[%d]", i)
		if r.Name == "" {
			return s.fieldError(field+".name", "is missing")
		}
		if seen[r.Name] {
			return s.fieldError(field+".name", fmt.Sprintf("duplicate resource %q", r.Name))
		}
		if r.MaxRequestBytes <= 0 || r.MaxResponseBytes <= 0 {
			return s.fieldError(field, "size limits must be 1 or more")
		}
		seen[r.Name] = true
	}
	return nil
}

func (s *Service) validateRoutes(valid func(*Route) bool) error {
	seen := make(map[string]bool, len(s.Routes))
	for i, r := range s.Routes {
		if r == nil {
			return s.fieldError(fmt.Sprintf("routes[%d]", i), "is missing")
		}
		if seen[r.Name] {
			return s.fieldError(fmt.Sprintf("routes[%d].name", i), fmt.Sprintf("duplicate route %q", r.Name))
		}
		seen[r.Name] = true
		if valid(r) {
			continue
		}
		if err := s.validateRoute(fmt.Sprintf("routes[%d]", i), r); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) validateRoute(field string, r *Route) error {
	switch {
	case r.Name == "":
		return s.fieldError(field+".name", "is missing")
	case len(r.Methods) == 0:
		return s.fieldError(field+".methods", "is empty")
	case !strings.HasPrefix(r.Prefix, "/"):
		return s.fieldError(field+".prefix", "must start with /")
	case r.Service == "":
		return s.fieldError(field+".service", "is missing")
	case r.Resource == "":
		return s.fieldError(field+".resource", "is missing")
	case r.Deadline <= 0:
		return s.fieldError(field+".deadline_ms", "must be 1 or more")
	case r.Retry.Attempts < 1:
		return s.fieldError(field+".retry.attempts", "must be 1 or more")
	case !r.Idempotent && len(r.Retry.Statuses) > 0:
		return s.fieldError(field+".retry.statuses", "must be empty for a route that is not idempotent")
	}
	return s.validateSplit(field, r)
}

func (s *Service) validateSplit(field string, r *Route) error {
	if len(r.Split) == 0 {
		return nil
	}
	sum := 0.0
	for i, part := range r.Split {
		if part.Service == "" {
			return s.fieldError(fmt.Sprintf("%s.split[%d].service", field, i), "is missing")
		}
		if !(part.Weight >= 0) || math.IsInf(part.Weight, 0) {
			return s.fieldError(fmt.Sprintf("%s.split[%d].weight", field, i), "must be 0 or more")
		}
		sum += part.Weight
	}
	if sum <= 0 || math.IsInf(sum, 0) {
		return s.fieldError(field+".split", "must have a sum of weights above 0 and not infinite")
	}
	return nil
}

// fieldError returns a FieldError for a field of s.
func (s *Service) fieldError(field, reason string) error {
	return &FieldError{Service: s.Name, Field: field, Reason: reason}
}
