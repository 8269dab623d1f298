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
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.Elem().Kind() != reflect.Struct {
		return fmt.Errorf("yamlcheck: target is a %T, expected a pointer to a struct", into)
	}
	body, err := parse(file, data)
	if err != nil {
		return err
	}
	d := &decoder{file: file, positions: make(map[string]position)}
	d.value("", body, target.Elem())
	return d.errors()
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
