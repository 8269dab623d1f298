package yamlcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FieldError is one error in a file.
type FieldError struct {
	File string
	// Line and Column count from 1.
	Line, Column int
	// Field is the path of the field, such as "routes[2].deadline"; "" for the file.
	Field    string
	Found    string
	Expected string
}

// Error returns "file:line:col: field: found X, expected Y".
func (e FieldError) Error() string {
	field := e.Field
	if field == "" {
		field = "file"
	}
	return fmt.Sprintf("%s:%d:%d: %s: found %s, expected %s", e.File, e.Line, e.Column, field, e.Found, e.Expected)
}

// FieldErrors are all errors of one or more files, in order of file and line.
type FieldErrors []FieldError

// Error returns one line for each error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Sort orders e by file, line and column.
func (e FieldErrors) Sort() {
	slices.SortStableFunc(e, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
