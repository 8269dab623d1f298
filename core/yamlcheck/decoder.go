package yamlcheck

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// maxDepth is the maximum nesting depth of mappings and lists.
const maxDepth = 64

// position is a place in the file. line and column count from 1.
type position struct {
	line, column int
}

// decoder walks the syntax tree and the target value in parallel, sets fields and
// collects errors.
type decoder struct {
	file string
	// positions is indexed by field path.
	positions map[string]position
	errs      FieldErrors
	depth     int
}

// errors returns the collected errors, sorted, or nil if there are none.
func (d *decoder) errors() error {
	if len(d.errs) == 0 {
		return nil
	}
	d.errs.Sort()
	return d.errs
}

// fail adds an error at the position of path.
func (d *decoder) fail(path, found, expected string) {
	pos := d.locate(path)
	d.errs = append(d.errs, FieldError{
		File: d.file, Line: pos.line, Column: pos.column,
		Field: path, Found: found, Expected: expected,
	})
}

// locate returns the position of path, or of its nearest parent that is in the file.
func (d *decoder) locate(path string) position {
	for {
		if pos, known := d.positions[path]; known {
			return pos
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return position{line: 1, column: 1}
		}
		path = path[:cut]
	}
}

// hasError reports whether path, one of its parents or one of its descendants has an
// error.
func (d *decoder) hasError(path string) bool {
	for _, e := range d.errs {
		if e.Field == path || isBelow(e.Field, path) || isBelow(path, e.Field) {
			return true
		}
	}
	return false
}

// isBelow reports whether path is a descendant of parent.
func isBelow(path, parent string) bool {
	rest, below := strings.CutPrefix(path, parent)
	return below && parent != "" && rest != "" && (rest[0] == '.' || rest[0] == '[')
}

// decodeValue decodes node into v, which must be settable.
func (d *decoder) decodeValue(path string, node ast.Node, v reflect.Value) {
	if _, known := d.positions[path]; !known {
		d.positions[path] = positionOf(node)
	}
	if d.depth >= maxDepth {
		d.fail(path, fmt.Sprintf("more than %d nested levels", maxDepth), "fewer nested levels")
		return
	}
	d.depth++
	defer func() { d.depth-- }()
	if isText(v) {
		d.decodeText(path, node, v)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		elem := reflect.New(v.Type().Elem())
		d.decodeValue(path, node, elem.Elem())
		v.Set(elem)
	case reflect.Struct:
		d.decodeStruct(path, node, v)
	case reflect.Slice:
		d.decodeList(path, node, v)
	case reflect.Map:
		d.decodeMap(path, node, v)
	default:
		d.decodeScalar(path, node, v)
	}
}

func (d *decoder) decodeList(path string, node ast.Node, v reflect.Value) {
	seq, isList := node.(*ast.SequenceNode)
	if !isList {
		d.fail(path, describe(node), expected(v.Type()))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) decodeMap(path string, node ast.Node, v reflect.Value) {
	entries, isMap := d.entries(path, node)
	if !isMap {
		d.fail(path, describe(node), expected(v.Type()))
		return
	}
	out := reflect.MakeMapWithSize(v.Type(), len(entries))
	for _, e := range entries {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(join(path, e.key), e.value, elem)
		out.SetMapIndex(reflect.ValueOf(e.key).Convert(v.Type().Key()), elem)
	}
	v.Set(out)
}

// decodeStruct decodes a mapping into a struct, reports unknown and missing keys, and
// validates the result.
func (d *decoder) decodeStruct(path string, node ast.Node, v reflect.Value) {
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
		d.decodeValue(join(path, e.key), e.value, v.FieldByIndex(f.index))
	}
	for _, f := range fields {
		if f.required && !present[f.name] {
			d.fail(join(path, f.name), "nothing", expected(f.typ))
		}
	}
	d.validate(path, v)
}

// validate calls the Validator of v, if it has one. It drops problems with fields that
// have an error already.
func (d *decoder) validate(path string, v reflect.Value) {
	validator, ok := v.Addr().Interface().(Validator)
	if !ok {
		return
	}
	for _, p := range validator.Validate() {
		field := join(path, p.Field)
		if d.hasError(field) || p.Related != "" && d.hasError(join(path, p.Related)) {
			continue
		}
		d.fail(field, p.Found, p.Expected)
	}
}

// join appends a field name or a list index in brackets to path.
func join(path, field string) string {
	if path == "" || field == "" || field[0] == '[' {
		return path + field
	}
	return path + "." + field
}
