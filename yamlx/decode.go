package yamlx

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// maxNodeDepth limits the nesting of nodes. It is more than any valid document has.
const maxNodeDepth = 32

var durationType = reflect.TypeFor[time.Duration]()

func (d *Doc) decodeRoot(n ast.Node, out any) {
	d.decodeValue("", n, reflect.ValueOf(out).Elem(), 0)
}

func (d *Doc) decodeValue(path string, n ast.Node, v reflect.Value, depth int) {
	d.lines[path] = lineOfNode(n)
	if depth > maxNodeDepth {
		d.AddFault(path, "is nested more than %d levels deep", maxNodeDepth)
		return
	}
	switch n.(type) {
	case *ast.NullNode:
		d.AddFault(path, "has no value; give one or leave the field out")
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.AddFault(path, "anchors, aliases and tags are not supported; write the value out")
		return
	}
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, n, t)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(path, n, v, depth)
	case reflect.Slice:
		d.decodeSequence(path, n, v, depth)
	default:
		d.decodeScalar(path, n, v)
	}
}

func (d *Doc) decodeMapping(path string, n ast.Node, v reflect.Value, depth int) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.AddFault(path, "must be a mapping, not %s", describe(n))
		return
	}
	for it := m.MapRange(); it.Next(); {
		key := it.Key().String()
		if k, ok := it.Key().(*ast.StringNode); ok {
			key = k.Value
		}
		fieldPath := joinPath(path, key)
		f, ok := fieldByTag(v, key)
		if !ok {
			d.addFaultAt(lineOfNode(it.Key()), fieldPath, "unknown field; known fields: %s", strings.Join(fieldNames(v.Type()), ", "))
			continue
		}
		d.decodeValue(fieldPath, it.Value(), f, depth+1)
		d.lines[fieldPath] = lineOfNode(it.Key())
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldByTag(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("yaml"); tag != "" {
			names = append(names, tag)
		}
	}
	return names
}

func (d *Doc) decodeSequence(path string, n ast.Node, v reflect.Value, depth int) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.AddFault(path, "must be a list, not %s", describe(n))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, e := range s.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, list.Index(i), depth+1)
	}
	v.Set(list)
}

// decodeText decodes a string into a type that parses its own text.
func (d *Doc) decodeText(path string, n ast.Node, t encoding.TextUnmarshaler) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.AddFault(path, "must be text, not %s", describe(n))
		return
	}
	if err := t.UnmarshalText([]byte(s.Value)); err != nil {
		d.AddFault(path, "%s", err)
	}
}

func (d *Doc) decodeScalar(path string, n ast.Node, v reflect.Value) {
	if v.Type() == durationType {
		d.decodeDuration(path, n, v)
		return
	}
	switch v.Kind() {
	case reflect.String:
		switch n := n.(type) {
		case *ast.StringNode:
			v.SetString(n.Value)
		case *ast.LiteralNode:
			v.SetString(n.Value.Value)
		default:
			d.AddFault(path, "must be text, not %s; put it in quotes", describe(n))
		}
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.AddFault(path, "must be true or false, not %s", describe(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Float64:
		d.decodeFloat(path, n, v)
	default:
		d.decodeInteger(path, n, v)
	}
}

func (d *Doc) decodeDuration(path string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.AddFault(path, "must be a time with a unit, such as 250ms or 2s, not %s", describe(n))
		return
	}
	duration, err := time.ParseDuration(s.Value)
	if err != nil {
		d.AddFault(path, "%q is not a time with a unit, such as 250ms or 2s", s.Value)
		return
	}
	v.SetInt(int64(duration))
}

func (d *Doc) decodeFloat(path string, n ast.Node, v reflect.Value) {
	switch n := n.(type) {
	case *ast.FloatNode:
		v.SetFloat(n.Value)
	case *ast.IntegerNode:
		if i, ok := n.Value.(int64); ok {
			v.SetFloat(float64(i))
			return
		}
		u, _ := nonNegative(n)
		v.SetFloat(float64(u))
	default:
		d.AddFault(path, "must be a number, not %s", describe(n))
	}
}

func (d *Doc) decodeInteger(path string, n ast.Node, v reflect.Value) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.AddFault(path, "must be a whole number, not %s", describe(n))
		return
	}
	u, ok := nonNegative(i)
	switch {
	case !ok:
		d.AddFault(path, "must not be below 0")
	case v.CanUint() && !v.OverflowUint(u):
		v.SetUint(u)
	case v.CanInt() && u <= math.MaxInt64 && !v.OverflowInt(int64(u)):
		v.SetInt(int64(u))
	default:
		d.AddFault(path, "is too large")
	}
}

// nonNegative returns the value of a node, or false when it is negative.
func nonNegative(n *ast.IntegerNode) (uint64, bool) {
	switch v := n.Value.(type) {
	case uint64:
		return v, true
	case int64:
		return uint64(max(v, 0)), v >= 0
	}
	return 0, false
}

// describe returns a description of a node for fault texts.
func describe(n ast.Node) string {
	switch n := n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.BoolNode, *ast.IntegerNode, *ast.FloatNode:
		return n.String()
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", n.Value)
	default:
		return "this"
	}
}
