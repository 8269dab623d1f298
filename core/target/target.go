// Package target reads the request target and the host of an HTTP/1.1 request. Everything that
// depends on them uses this one reading: the choice of the route, whether a request may be
// repeated, its fingerprint and what the backend server gets. The bytes of the caller are split,
// never decoded, cleaned or rebuilt (docs/design/26-request-target.md).
package target

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by all errors of Parse: the request is not valid HTTP.
var ErrInvalid = errors.New("invalid request target")

// The reasons why Parse refuses a request.
var (
	errByte      = fmt.Errorf("%w: it has a space, a control character or '#'", ErrInvalid)
	errForm      = fmt.Errorf("%w: it is neither a path nor an http URI", ErrInvalid)
	errTunnel    = fmt.Errorf("%w: CONNECT asks for a tunnel", ErrInvalid)
	errHost      = fmt.Errorf("%w: its host is not HOST or HOST:PORT", ErrInvalid)
	errTwoHosts  = fmt.Errorf("%w: its host and the Host header differ", ErrInvalid)
	errEmptyHost = fmt.Errorf("%w: its URI has no host", ErrInvalid)
)

// Target is what a request asks for, in the bytes of the caller.
type Target struct {
	// Raw is the request target, which the backend server gets unchanged.
	Raw string
	// Host is the Host header, or the host of the URI if there is no such header.
	Host string
	// Path is the path in Raw, without the query. It selects the route. A URI without a path
	// has the path "/". The path of a request for the server itself is "*", which no prefix
	// of a route begins.
	Path string
}

// Parse reads the request target of a request with the given method and Host header. host is
// empty if there is no such header. The error wraps ErrInvalid.
func Parse(method, raw, host string) (Target, error) {
	t := Target{Raw: raw, Host: host, Path: "*"}
	if host != "" && !validHost(host) {
		return Target{}, errHost
	}
	if strings.ContainsFunc(raw, invalidRune) {
		return Target{}, errByte
	}
	switch {
	case method == "CONNECT":
		return Target{}, errTunnel
	case strings.HasPrefix(raw, "/"):
		t.Path, _, _ = strings.Cut(raw, "?")
		return t, nil
	case raw == "*" && method == "OPTIONS":
		return t, nil
	default:
		return t.parseURI(method)
	}
}

// parseURI returns t with the host and the path of the URI in t.Raw.
func (t Target) parseURI(method string) (Target, error) {
	scheme, rest, found := strings.Cut(t.Raw, "://")
	if !found || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return Target{}, errForm
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	switch authority := rest[:end]; {
	case authority == "":
		return Target{}, errEmptyHost
	case !validHost(authority):
		return Target{}, errHost
	case t.Host == "":
		t.Host = authority
	case !strings.EqualFold(t.Host, authority):
		return Target{}, errTwoHosts
	}
	path, _, hasQuery := strings.Cut(rest[end:], "?")
	if path == "" && (method != "OPTIONS" || hasQuery) {
		path = "/"
	}
	if path != "" {
		t.Path = path
	}
	return t, nil
}

// invalidRune reports whether r can't be in a request target. Other runes that the RFC leaves out
// have one reading only, are common in practice, and are passed on.
func invalidRune(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' }

// validHost reports whether s is a host with an optional port (RFC 9110, 7.2).
func validHost(s string) bool {
	name, port := s, ""
	if strings.HasPrefix(s, "[") {
		end := strings.IndexByte(s, ']')
		if end < 0 || end+1 < len(s) && s[end+1] != ':' {
			return false
		}
		name, port = s[1:end], strings.TrimPrefix(s[end+1:], ":")
		return name != "" && validName(strings.ReplaceAll(name, ":", "")) && validPort(port)
	}
	name, port, _ = strings.Cut(s, ":")
	return name != "" && validName(name) && validPort(port)
}

// validName reports whether s has only characters of a registered name (RFC 3986, 3.2.2).
func validName(s string) bool {
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case isAlphanumeric(c) || strings.IndexByte("-._~!$&'()*+,;=", c) >= 0:
		case c == '%' && i+2 < len(s) && isHex(s[i+1]) && isHex(s[i+2]):
			i += 2
		default:
			return false
		}
	}
	return true
}

func validPort(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r < '0' || r > '9' })
}

func isAlphanumeric(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}
