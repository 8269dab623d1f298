package yamlcheck

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// maxDepth bounds how deep mappings and lists may nest.
const maxDepth = 64

type position struct {
	line, column int
}

// decoder walks the syntax tree and the target's type side by side, sets values
// and collects errors.
type decoder struct {
	file      string
	positions map[string]position
	found     FieldErrors
	depth     int
}

func (d *decoder) errors() error {
	if len(d.found) == 0 {
		return nil
	}
	d.found.Sort()
	return d.found
}

func (d *decoder) fail(path, found, expected string) {
	at := d.locate(path)
	d.found = append(d.found, FieldError{
		File: d.file, Line: at.line, Column: at.column,
		Field: path, Found: found, Expected: expected,
	})
}

// locate returns the position of path or of the nearest parent that the file has.
func (d *decoder) locate(path string) position {
	for {
		if at, known := d.positions[path]; known {
			return at
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return position{line: 1, column: 1}
		}
		path = path[:cut]
	}
}

// failed reports whether path, a parent or a child of it has an error.
func (d *decoder) failed(path string) bool {
	for _, e := range d.found {
		if e.Field == path || isBelow(e.Field, path) || isBelow(path, e.Field) {
			return true
		}
	}
	return false
}

func isBelow(path, parent string) bool {
	rest, below := strings.CutPrefix(path, parent)
	return below && parent != "" && rest != "" && (rest[0] == '.' || rest[0] == '[')
}

// value decodes node into v, which is settable.
func (d *decoder) value(path string, node ast.Node, v reflect.Value) {
	if _, known := d.positions[path]; !known {
		d.positions[path] = positionOf(node)
	}
	if d.depth >= maxDepth {
		d.fail(path, fmt.Sprintf("more than %d levels", maxDepth), "fewer levels")
		return
	}
	d.depth++
	defer func() { d.depth-- }()
	if isText(v) {
		d.text(path, node, v)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		elem := reflect.New(v.Type().Elem())
		d.value(path, node, elem.Elem())
		v.Set(elem)
	case reflect.Struct:
		d.structure(path, node, v)
	case reflect.Slice:
		d.list(path, node, v)
	case reflect.Map:
		d.mapping(path, node, v)
	default:
		d.scalar(path, node, v)
	}
}

func (d *decoder) list(path string, node ast.Node, v reflect.Value) {
	seq, isList := node.(*ast.SequenceNode)
	if !isList {
		d.fail(path, describe(node), expected(v.Type()))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) mapping(path string, node ast.Node, v reflect.Value) {
	entries, isMap := d.entries(path, node)
	if !isMap {
		d.fail(path, describe(node), expected(v.Type()))
		return
	}
	out := reflect.MakeMapWithSize(v.Type(), len(entries))
	for _, e := range entries {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.value(join(path, e.key), e.value, elem)
		out.SetMapIndex(reflect.ValueOf(e.key).Convert(v.Type().Key()), elem)
	}
	v.Set(out)
}

func (d *decoder) structure(path string, node ast.Node, v reflect.Value) {
	entries, isMap := d.entries(path, node)
	if !isMap {
		d.fail(path, describe(node), expected(v.Type()))
		return
	}
	fields := fieldsOf(v.Type())
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.key] = true
		f, known := fields.find(e.key)
		if !known {
			d.fail(join(path, e.key), "an unknown key", fields.expected(e.key))
			continue
		}
		d.value(join(path, e.key), e.value, v.FieldByIndex(f.index))
	}
	for _, f := range fields {
		if f.required && !present[f.name] {
			d.fail(join(path, f.name), "nothing", expected(f.typ))
		}
	}
	d.validate(path, v)
}

func (d *decoder) validate(path string, v reflect.Value) {
	validator, checks := v.Addr().Interface().(Validator)
	if !checks {
		return
	}
	for _, p := range validator.Validate() {
		field := join(path, p.Field)
		if d.failed(field) || p.Related != "" && d.failed(join(path, p.Related)) {
			continue
		}
		d.fail(field, p.Found, p.Expected)
	}
}

func join(path, field string) string {
	if path == "" || field == "" || field[0] == '[' {
		return path + field
	}
	return path + "." + field
}
