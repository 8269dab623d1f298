// Package yamlcheck decodes YAML strictly and reports all errors of a file at once, each
// with its position, its field, what was found and what was expected.
//
// It is used for settings and questionnaires, and does not read files itself. A struct
// field with the tag `check:"required"` must be present. Any other field that is absent
// from the file keeps the value that it had in the target, which serves as its default.
package yamlcheck

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxBytes is the maximum size of a file, in bytes.
const MaxBytes = 1 << 20

// Problem is an invalid value of the right type, reported by a Validator.
type Problem struct {
	// Field is the path of the field relative to the validated struct, such as
	// "retry.statuses[1]".
	Field    string
	Found    string
	Expected string
	// Related is a second field that the problem concerns, or "". If it has an error, the
	// problem is dropped.
	Related string
}

// Validator is implemented by structs that validate their values, with a value or a
// pointer receiver. Decode calls it for every struct in the target, after the fields of
// that struct are set. Problems with a field that has an error already are dropped.
type Validator interface {
	Validate() []Problem
}

// Decode decodes the single document in data into the struct that into points to. file is
// the file name in errors. Invalid data gives a FieldErrors; any other error means that
// into is not a pointer to a struct.
func Decode(file string, data []byte, into any) error {
	_, err := DecodeDocument(file, data, into)
	return err
}

// DecodeDocument is like Decode, but also returns a Document, with which several files can
// be checked against each other. The Document is non-nil even with a FieldErrors, unless
// data is not a single YAML document.
func DecodeDocument(file string, data []byte, into any) (*Document, error) {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.Elem().Kind() != reflect.Struct {
		return nil, fmt.Errorf("yamlcheck: target is a %T, expected a pointer to a struct", into)
	}
	body, err := parse(file, data)
	if err != nil {
		return nil, err
	}
	d := &decoder{file: file, positions: make(map[string]position)}
	d.decodeValue("", body, target.Elem())
	return &Document{decoder: d}, d.errors()
}

// Document holds the positions of the fields in a decoded file.
type Document struct {
	decoder *decoder
}

// File returns the name that was passed to DecodeDocument.
func (d *Document) File() string {
	return d.decoder.file
}

// Valid reports whether the file was decoded without errors.
func (d *Document) Valid() bool {
	return len(d.decoder.errs) == 0
}

// Locate converts a problem that was found after decoding into an error with a position.
// p.Field is relative to the root of the document.
func (d *Document) Locate(p Problem) FieldError {
	pos := d.decoder.locate(p.Field)
	return FieldError{
		File: d.decoder.file, Line: pos.line, Column: pos.column,
		Field: p.Field, Found: p.Found, Expected: p.Expected,
	}
}

// parse returns the root node of the single document in data.
func parse(file string, data []byte) (ast.Node, error) {
	if len(data) > MaxBytes {
		return nil, rootError(file, fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(file, err)
	}
	var body ast.Node
	for _, doc := range parsed.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			return nil, rootError(file, "several documents", "one document")
		}
		body = doc.Body
	}
	if body == nil {
		return nil, rootError(file, "an empty file", "a mapping")
	}
	return body, nil
}

// rootError returns an error that concerns the whole file.
func rootError(file, found, expected string) error {
	return FieldErrors{{File: file, Line: 1, Column: 1, Found: found, Expected: expected}}
}

// syntaxError converts an error of the YAML parser, with its position if it has one.
func syntaxError(file string, err error) error {
	e := FieldError{File: file, Line: 1, Column: 1, Found: err.Error(), Expected: "valid YAML"}
	var located yaml.Error
	if errors.As(err, &located) {
		e.Found = located.GetMessage()
		if tk := located.GetToken(); tk != nil && tk.Position != nil {
			e.Line = tk.Position.Line
			e.Column = tk.Position.Column
		}
	}
	return FieldErrors{e}
}
