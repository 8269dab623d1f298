package yamlcheck

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// Expecter is implemented by scalar types that describe the accepted values in errors.
type Expecter interface {
	// Expected completes the phrase "expected ...".
	Expected() string
}

var (
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
	expecterType = reflect.TypeFor[Expecter]()
	addrPortType = reflect.TypeFor[netip.AddrPort]()
)

// isText reports whether v is decoded by its own UnmarshalText method.
func isText(v reflect.Value) bool {
	return v.Kind() != reflect.Pointer && reflect.PointerTo(v.Type()).Implements(textType)
}

// decodeText decodes a scalar into a type that implements encoding.TextUnmarshaler. The
// error of UnmarshalText is replaced by a description of the accepted values.
func (d *decoder) decodeText(path string, node ast.Node, v reflect.Value) {
	text, isScalar := scalarText(node)
	if !isScalar {
		d.fail(path, describe(node), expected(v.Type()))
		return
	}
	unmarshaler := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
		d.fail(path, describe(node), expected(v.Type()))
	}
}

func (d *decoder) decodeScalar(path string, node ast.Node, v reflect.Value) {
	if !setScalar(node, v) {
		d.fail(path, describe(node), expected(v.Type()))
	}
}

// setScalar sets v from node. It returns false if node is out of range or of another kind:
// the only conversion is from a whole number to a float.
func setScalar(node ast.Node, v reflect.Value) bool {
	switch v.Kind() {
	case reflect.String:
		return setString(node, v)
	case reflect.Bool:
		b, isBool := node.(*ast.BoolNode)
		if isBool {
			v.SetBool(b.Value)
		}
		return isBool
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return setInt(node, v)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return setUint(node, v)
	case reflect.Float32, reflect.Float64:
		return setFloat(node, v)
	default:
		return false
	}
}

func setString(node ast.Node, v reflect.Value) bool {
	switch n := node.(type) {
	case *ast.StringNode:
		v.SetString(n.Value)
	case *ast.LiteralNode:
		v.SetString(n.Value.Value)
	default:
		return false
	}
	return true
}

func setInt(node ast.Node, v reflect.Value) bool {
	n, isInt := node.(*ast.IntegerNode)
	if !isInt {
		return false
	}
	i, err := strconv.ParseInt(fmt.Sprint(n.Value), 10, v.Type().Bits())
	if err != nil {
		return false
	}
	v.SetInt(i)
	return true
}

func setUint(node ast.Node, v reflect.Value) bool {
	n, isInt := node.(*ast.IntegerNode)
	if !isInt {
		return false
	}
	u, err := strconv.ParseUint(fmt.Sprint(n.Value), 10, v.Type().Bits())
	if err != nil {
		return false
	}
	v.SetUint(u)
	return true
}

func setFloat(node ast.Node, v reflect.Value) bool {
	switch n := node.(type) {
	case *ast.FloatNode:
		v.SetFloat(n.Value)
	case *ast.IntegerNode:
		f, err := strconv.ParseFloat(fmt.Sprint(n.Value), 64)
		if err != nil {
			return false
		}
		v.SetFloat(f)
	default:
		return false
	}
	return true
}

// scalarText returns the text of a string or number as in the file, false for any other
// node.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode:
		return node.GetToken().Value, true
	default:
		return "", false
	}
}

// describe returns what an error reports as found.
func describe(node ast.Node) string {
	switch n := node.(type) {
	case nil, *ast.NullNode:
		return "nothing"
	case *ast.StringNode:
		return strconv.Quote(n.Value)
	case *ast.LiteralNode:
		return strconv.Quote(n.Value.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return node.GetToken().Value
	case *ast.SequenceNode:
		return "a list"
	case *ast.AliasNode, *ast.AnchorNode, *ast.TagNode:
		return "an anchor, alias or tag"
	}
	if _, isMap := node.(ast.MapNode); isMap {
		return "a mapping"
	}
	return "a " + node.Type().String()
}

// expected describes the accepted values of type t.
func expected(t reflect.Type) string {
	switch {
	case t.Implements(expecterType):
		return reflect.Zero(t).Interface().(Expecter).Expected()
	case t == addrPortType:
		return "ip:port"
	case t.Kind() == reflect.Pointer:
		return expected(t.Elem())
	}
	return expectedKind(t)
}

func expectedKind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of 0 or more"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list, each item " + expected(t.Elem())
	default:
		return "a mapping"
	}
}
