package yamlcheck

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

type entry struct {
	key   string
	value ast.Node
}

// entries returns the entries of a mapping in file order, without duplicate keys, and
// records their positions. It returns false if node is not a mapping.
func (d *decoder) entries(path string, node ast.Node) ([]entry, bool) {
	m, isMap := node.(ast.MapNode)
	if !isMap {
		return nil, false
	}
	var all []entry
	seen := make(map[string]bool)
	for iter := m.MapRange(); iter.Next(); {
		key := keyText(iter.Key())
		field := join(path, key)
		if seen[key] {
			d.failAt(positionOf(iter.Key()), field, "a duplicate key", "each key once")
			continue
		}
		seen[key] = true
		d.positions[field] = positionOf(iter.Key())
		all = append(all, entry{key: key, value: iter.Value()})
	}
	return all, true
}

// failAt adds an error at pos.
func (d *decoder) failAt(pos position, path, found, expected string) {
	d.errs = append(d.errs, FieldError{
		File: d.file, Line: pos.line, Column: pos.column,
		Field: path, Found: found, Expected: expected,
	})
}

func keyText(key ast.MapKeyNode) string {
	if s, isString := key.(*ast.StringNode); isString {
		return s.Value
	}
	if tk := key.GetToken(); tk != nil {
		return tk.Value
	}
	return key.String()
}

// positionOf returns the position of node: for a mapping, that of its first key, and
// line 1, column 1 if the position is unknown.
func positionOf(node ast.Node) position {
	if m, isMap := node.(ast.MapNode); isMap {
		if iter := m.MapRange(); iter.Next() {
			node = iter.Key()
		}
	}
	if node == nil {
		return position{line: 1, column: 1}
	}
	tk := node.GetToken()
	if tk == nil || tk.Position == nil {
		return position{line: 1, column: 1}
	}
	return position{line: tk.Position.Line, column: tk.Position.Column}
}

// field is a struct field that a file can set.
type field struct {
	// name is the key in the file.
	name     string
	index    []int
	typ      reflect.Type
	required bool
}

type fieldList []field

// fieldsOf returns the fields of struct type t, including those of embedded structs. The
// key of a field without a name in its tag is its Go name in lower case.
func fieldsOf(t reflect.Type) fieldList {
	var all fieldList
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if f.Anonymous || !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = strings.ToLower(f.Name)
		}
		required := f.Tag.Get("check") == "required"
		all = append(all, field{name: name, index: f.Index, typ: f.Type, required: required})
	}
	return all
}

func (l fieldList) find(name string) (field, bool) {
	for _, f := range l {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

// expected returns what is expected in place of an unknown key: the nearest name, or else
// the list of all names.
func (l fieldList) expected(misspelt string) string {
	names := make([]string, len(l))
	for i, f := range l {
		names[i] = f.name
	}
	if near := Nearest(misspelt, names); near != "" {
		return fmt.Sprintf("%q", near)
	}
	return "one of " + strings.Join(names, ", ")
}
