package mesh

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// appendRoute appends the canonical encoding of a route, which is that of json.Marshal.
func appendRoute(dst []byte, r *Route) ([]byte, error) {
	dst = appendText(append(dst, `{"name":`...), r.Name)
	dst = appendTexts(append(dst, `,"methods":`...), r.Methods)
	if r.Host != "" {
		dst = appendText(append(dst, `,"host":`...), r.Host)
	}
	dst = appendText(append(dst, `,"prefix":`...), r.Prefix)
	dst = appendText(append(dst, `,"service":`...), r.Service)
	dst = appendText(append(dst, `,"resource":`...), r.Resource)
	dst = strconv.AppendBool(append(dst, `,"idempotent":`...), r.Idempotent)
	if len(r.Split) > 0 {
		split, err := json.Marshal(r.Split)
		if err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		dst = append(append(dst, `,"split":`...), split...)
	}
	dst = strconv.AppendInt(append(dst, `,"retry":{"attempts":`...), int64(r.Retry.Attempts), 10)
	dst = appendNumbers(append(dst, `,"statuses":`...), r.Retry.Statuses)
	dst = strconv.AppendInt(append(dst, `},"deadline_ms":`...), int64(r.Deadline), 10)
	if r.Objective != 0 {
		dst = strconv.AppendInt(append(dst, `,"objective_ms":`...), int64(r.Objective), 10)
	}
	if r.Rank != nil {
		dst = strconv.AppendInt(append(dst, `,"rank":`...), int64(*r.Rank), 10)
	}
	return append(dst, '}'), nil
}

// appendText appends a JSON string.
func appendText(dst []byte, s string) []byte {
	if !plain(s) {
		// Encoding a string cannot fail.
		encoded, _ := json.Marshal(s)
		return append(dst, encoded...)
	}
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

// plain reports whether each character of s stands for itself in a JSON string.
func plain(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c < ' ', c > '~', c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}

func appendTexts(dst []byte, all []string) []byte {
	return appendList(dst, all, appendText)
}

func appendNumbers(dst []byte, all []int) []byte {
	return appendList(dst, all, func(dst []byte, n int) []byte { return strconv.AppendInt(dst, int64(n), 10) })
}

// appendList appends a JSON array, null if all is nil.
func appendList[T any](dst []byte, all []T, appendOne func([]byte, T) []byte) []byte {
	if all == nil {
		return append(dst, "null"...)
	}
	dst = append(dst, '[')
	for i, v := range all {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = appendOne(dst, v)
	}
	return append(dst, ']')
}
