// Package yamlcheck decodes YAML files strictly and reports every error of a file
// at once, each with its line, its field, what was found and what is expected.
//
// Settings and questionnaires use it. It reads no files itself. A struct field is
// required if it carries the tag `check:"required"`; any other field that the file
// leaves out keeps the value that the target held before.
package yamlcheck

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxBytes bounds the size of a file.
const MaxBytes = 1 << 20

// Problem is an error that a Validator finds in values of the right type.
type Problem struct {
	// Field is the path below the validated struct, such as "retry.statuses[1]".
	Field    string
	Found    string
	Expected string
	// Related is a second field that the problem is about, or "". An error on it
	// drops the problem.
	Related string
}

// Validator is implemented by structs that check their values. Decode calls it on
// every struct of the target, with a pointer receiver allowed, after all fields of
// that struct are set. Problems on a field that has an error already are dropped.
type Validator interface {
	Validate() []Problem
}

// Decode decodes the only document in data into the struct that into points to.
// The name file appears in errors. It returns FieldErrors, or nil.
func Decode(file string, data []byte, into any) error {
	_, err := DecodeDocument(file, data, into)
	return err
}

// DecodeDocument is Decode for callers that check more than one file together. The
// Document is returned along with FieldErrors too, unless data is not a document at
// all; then it is nil.
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
	d.value("", body, target.Elem())
	return &Document{decoder: d}, d.errors()
}

// Document remembers where the fields of a decoded file stand.
type Document struct {
	decoder *decoder
}

// File returns the name that was passed to DecodeDocument.
func (d *Document) File() string {
	return d.decoder.file
}

// Valid reports whether the file had no errors of its own.
func (d *Document) Valid() bool {
	return len(d.decoder.found) == 0
}

// Locate turns a problem that was found after decoding into an error with its line.
func (d *Document) Locate(p Problem) FieldError {
	at := d.decoder.locate(p.Field)
	return FieldError{
		File: d.decoder.file, Line: at.line, Column: at.column,
		Field: p.Field, Found: p.Found, Expected: p.Expected,
	}
}

func parse(file string, data []byte) (ast.Node, error) {
	if len(data) > MaxBytes {
		return nil, rootError(file, fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d", MaxBytes))
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

func rootError(file, found, expected string) error {
	return FieldErrors{{File: file, Line: 1, Column: 1, Found: found, Expected: expected}}
}

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
