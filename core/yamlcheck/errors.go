package yamlcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FieldError is an error in a file.
type FieldError struct {
	// File is the name that was passed to Decode.
	File string
	// Line and Column count from 1.
	Line, Column int
	// Field is the path of the field, such as "routes[2].deadline"; "" for the whole file.
	Field string
	// Found and Expected describe the value in the file and the accepted values.
	Found    string
	Expected string
}

// Error returns "file:line:column: field: found X, expected Y".
func (e FieldError) Error() string {
	field := e.Field
	if field == "" {
		field = "file"
	}
	return fmt.Sprintf("%s:%d:%d: %s: found %s, expected %s", e.File, e.Line, e.Column, field, e.Found, e.Expected)
}

// FieldErrors holds all errors of one or more files, sorted by file, line and column.
type FieldErrors []FieldError

// Error returns one line per error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Sort sorts e by file, line and column. It keeps the order of errors at one position.
func (e FieldErrors) Sort() {
	slices.SortStableFunc(e, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
