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

// maxDepth is more than any document of ours nests.
const maxDepth = 32

var durationType = reflect.TypeFor[time.Duration]()

func (d *Doc) decode(n ast.Node, out any) {
	d.value("", n, reflect.ValueOf(out).Elem(), 0)
}

func (d *Doc) value(path string, n ast.Node, v reflect.Value, depth int) {
	d.lines[path] = lineOf(n)
	if depth > maxDepth {
		d.AddFault(path, "is nested more than %d deep", maxDepth)
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
		d.text(path, n, t)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(path, n, v, depth)
	case reflect.Slice:
		d.sequence(path, n, v, depth)
	default:
		d.scalar(path, n, v)
	}
}

func (d *Doc) mapping(path string, n ast.Node, v reflect.Value, depth int) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.AddFault(path, "must be a mapping of fields, not %s", kind(n))
		return
	}
	for it := m.MapRange(); it.Next(); {
		key := it.Key().String()
		if k, ok := it.Key().(*ast.StringNode); ok {
			key = k.Value
		}
		at := join(path, key)
		f, ok := fieldOf(v, key)
		if !ok {
			d.add(lineOf(it.Key()), at, "unknown field; known here are %s", strings.Join(fieldNames(v.Type()), ", "))
			continue
		}
		d.value(at, it.Value(), f, depth+1)
		d.lines[at] = lineOf(it.Key())
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldOf(v reflect.Value, key string) (reflect.Value, bool) {
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

func (d *Doc) sequence(path string, n ast.Node, v reflect.Value, depth int) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.AddFault(path, "must be a list, not %s", kind(n))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, e := range s.Values {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, list.Index(i), depth+1)
	}
	v.Set(list)
}

// text reads a scalar into a type that parses its own text.
func (d *Doc) text(path string, n ast.Node, t encoding.TextUnmarshaler) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.AddFault(path, "must be text, not %s", kind(n))
		return
	}
	if err := t.UnmarshalText([]byte(s.Value)); err != nil {
		d.AddFault(path, "%s", err)
	}
}

func (d *Doc) scalar(path string, n ast.Node, v reflect.Value) {
	if v.Type() == durationType {
		d.duration(path, n, v)
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
			d.AddFault(path, "must be text, not %s; put it in quotes", kind(n))
		}
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.AddFault(path, "must be true or false, not %s", kind(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Float64:
		d.float(path, n, v)
	default:
		d.integer(path, n, v)
	}
}

func (d *Doc) duration(path string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.AddFault(path, "must be a time with a unit, such as 250ms or 2s, not %s", kind(n))
		return
	}
	t, err := time.ParseDuration(s.Value)
	if err != nil {
		d.AddFault(path, "%q is not a time with a unit, such as 250ms or 2s", s.Value)
		return
	}
	v.SetInt(int64(t))
}

func (d *Doc) float(path string, n ast.Node, v reflect.Value) {
	switch n := n.(type) {
	case *ast.FloatNode:
		v.SetFloat(n.Value)
	case *ast.IntegerNode:
		if i, ok := n.Value.(int64); ok {
			v.SetFloat(float64(i))
			return
		}
		u, _ := unsigned(n)
		v.SetFloat(float64(u))
	default:
		d.AddFault(path, "must be a number, not %s", kind(n))
	}
}

func (d *Doc) integer(path string, n ast.Node, v reflect.Value) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		d.AddFault(path, "must be a whole number, not %s", kind(n))
		return
	}
	u, ok := unsigned(i)
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

// unsigned returns the number of a node, and whether it is not below 0.
func unsigned(n *ast.IntegerNode) (uint64, bool) {
	switch v := n.Value.(type) {
	case uint64:
		return v, true
	case int64:
		return uint64(max(v, 0)), v >= 0
	}
	return 0, false
}

// kind names what a node holds, for faults.
func kind(n ast.Node) string {
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
