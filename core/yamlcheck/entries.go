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

// entries returns the entries of a mapping, in order, and records where they stand.
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
			d.failAt(positionOf(iter.Key()), field, "the key a second time", "it once")
			continue
		}
		seen[key] = true
		d.positions[field] = positionOf(iter.Key())
		all = append(all, entry{key: key, value: iter.Value()})
	}
	return all, true
}

func (d *decoder) failAt(at position, path, found, expected string) {
	d.found = append(d.found, FieldError{
		File: d.file, Line: at.line, Column: at.column,
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

// field is one field of a struct as the file names it.
type field struct {
	name     string
	index    []int
	typ      reflect.Type
	required bool
}

type fieldList []field

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
