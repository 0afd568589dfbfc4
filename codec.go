package pollenlatch

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// The codec encodes and decodes protobuf messages by the struct tags of domain
// types, with the primitives of package protowire. Fields of embedded structs
// without a tag belong to the embedding message. Zero values are omitted, except
// that a non-nil pointer is always written.

// maxDepth limits the nesting of messages, so that a crafted message cannot
// exhaust the stack.
const maxDepth = 16

// Errors of messages that cannot be decoded.
var (
	errWireType         = errors.New("wire type does not match the field")
	errNotStructPointer = errors.New("not a pointer to a struct")
	errTooDeep          = fmt.Errorf("messages are nested deeper than %d", maxDepth)
)

// messageCodec encodes and decodes one struct type.
type messageCodec struct {
	fields   []*fieldCodec
	byNumber map[protowire.Number]*fieldCodec
}

// fieldCodec encodes and decodes one field.
type fieldCodec struct {
	number      protowire.Number
	index       []int
	tag         []byte // encoded number and wire type
	fixed64     bool   // 8 bytes instead of a varint
	kind        kind   // of the elements, for a list
	repeated    bool
	messageType reflect.Type // for messages and lists of messages
}

type kind uint8

const (
	kindBool kind = iota
	kindInt
	kindUint
	kindFloat
	kindString
	kindBytes
	kindMessage
	kindPointer
)

var codecs sync.Map // reflect.Type -> *messageCodec

func codecOf(t reflect.Type) *messageCodec {
	if m, ok := codecs.Load(t); ok {
		return m.(*messageCodec)
	}
	m := &messageCodec{byNumber: make(map[protowire.Number]*fieldCodec)}
	m.addFields(t, nil)
	for _, f := range m.fields {
		m.byNumber[f.number] = f
	}
	actual, _ := codecs.LoadOrStore(t, m)
	return actual.(*messageCodec)
}

func (m *messageCodec) addFields(t reflect.Type, path []int) {
	for i := range t.NumField() {
		f := t.Field(i)
		index := append(append([]int(nil), path...), i)
		tag, tagged := f.Tag.Lookup("protobuf")
		switch {
		case tagged:
			m.fields = append(m.fields, newField(t, f, tag, index))
		case f.Anonymous && f.Type.Kind() == reflect.Struct:
			m.addFields(f.Type, index)
		}
	}
}

// newField panics on a tag that does not match its field. That is a programming
// error, which shows at the first use of the type.
func newField(t reflect.Type, f reflect.StructField, tag string, index []int) *fieldCodec {
	parts := strings.Split(tag, ",")
	n, err := strconv.Atoi(parts[min(1, len(parts)-1)])
	if err != nil || n <= 0 {
		panic(fmt.Sprintf("%s.%s: protobuf tag %q has no number", t, f.Name, tag))
	}
	out := &fieldCodec{number: protowire.Number(n), index: index, fixed64: parts[0] == "fixed64"}
	ft := f.Type
	if ft.Kind() == reflect.Slice && ft.Elem().Kind() != reflect.Uint8 {
		out.repeated = true
		ft = ft.Elem()
	}
	wire := protowire.VarintType
	switch ft.Kind() {
	case reflect.Bool:
		out.kind = kindBool
	case reflect.Int, reflect.Int32, reflect.Int64:
		out.kind = kindInt
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		out.kind = kindUint
	case reflect.Float64:
		out.kind, out.fixed64 = kindFloat, true
	case reflect.String:
		out.kind, wire = kindString, protowire.BytesType
	case reflect.Slice:
		out.kind, wire = kindBytes, protowire.BytesType
	case reflect.Struct:
		out.kind, wire, out.messageType = kindMessage, protowire.BytesType, ft
	case reflect.Pointer:
		out.kind, wire, out.messageType = kindPointer, protowire.BytesType, ft.Elem()
	default:
		panic(fmt.Sprintf("%s.%s: type %s has no protobuf encoding", t, f.Name, f.Type))
	}
	if out.fixed64 {
		wire = protowire.Fixed64Type
	}
	out.tag = protowire.AppendTag(nil, out.number, wire)
	return out
}

func (m *messageCodec) append(b []byte, v reflect.Value) []byte {
	for _, f := range m.fields {
		fv := fieldAt(v, f.index)
		if !f.repeated {
			b = f.append(b, fv, false)
			continue
		}
		for i := range fv.Len() {
			b = f.append(b, fv.Index(i), true)
		}
	}
	return b
}

func fieldAt(v reflect.Value, index []int) reflect.Value {
	for _, i := range index {
		v = v.Field(i)
	}
	return v
}

// append writes one value. Zero values are omitted, except as elements of lists.
func (f *fieldCodec) append(b []byte, v reflect.Value, inList bool) []byte {
	switch f.kind {
	case kindBool:
		if !v.Bool() && !inList {
			return b
		}
		return protowire.AppendVarint(append(b, f.tag...), protowire.EncodeBool(v.Bool()))
	case kindInt:
		return f.appendNumber(b, uint64(v.Int()), inList)
	case kindUint:
		return f.appendNumber(b, v.Uint(), inList)
	case kindFloat:
		return f.appendNumber(b, math.Float64bits(v.Float()), inList)
	case kindString:
		if v.Len() == 0 && !inList {
			return b
		}
		return protowire.AppendString(append(b, f.tag...), v.String())
	case kindBytes:
		if v.Len() == 0 && !inList {
			return b
		}
		return protowire.AppendBytes(append(b, f.tag...), v.Bytes())
	case kindMessage:
		return f.appendMessage(b, v, inList)
	default:
		if v.IsNil() {
			return b
		}
		return f.appendMessage(b, v.Elem(), true)
	}
}

func (f *fieldCodec) appendNumber(b []byte, n uint64, inList bool) []byte {
	switch {
	case n == 0 && !inList:
		return b
	case f.fixed64:
		return protowire.AppendFixed64(append(b, f.tag...), n)
	default:
		return protowire.AppendVarint(append(b, f.tag...), n)
	}
}

// appendMessage reserves one byte for the length of the message, and moves the
// message if the length needs more. An empty message is omitted unless keepEmpty
// is set.
func (f *fieldCodec) appendMessage(b []byte, v reflect.Value, keepEmpty bool) []byte {
	start := len(b)
	b = append(b, f.tag...)
	at := len(b)
	b = codecOf(f.messageType).append(append(b, 0), v)
	n := len(b) - at - 1
	if n == 0 && !keepEmpty {
		return b[:start]
	}
	if n < 0x80 {
		b[at] = byte(n)
		return b
	}
	size := protowire.SizeVarint(uint64(n))
	b = append(b, make([]byte, size-1)...)
	copy(b[at+size:], b[at+1:at+1+n])
	protowire.AppendVarint(b[:at], uint64(n))
	return b
}

func (m *messageCodec) decode(b []byte, v reflect.Value, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	for len(b) > 0 {
		number, wire, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		f, ok := m.byNumber[number]
		if !ok {
			if n = protowire.ConsumeFieldValue(number, wire, b); n < 0 {
				return protowire.ParseError(n)
			}
			b = b[n:]
			continue
		}
		n, err := f.decode(b, wire, fieldAt(v, f.index), depth)
		if err != nil {
			return fmt.Errorf("field %d: %w", number, err)
		}
		b = b[n:]
	}
	return nil
}

func (f *fieldCodec) decode(b []byte, wire protowire.Type, v reflect.Value, depth int) (int, error) {
	if f.repeated {
		n := v.Len()
		if n == v.Cap() {
			v.Grow(max(4, n))
		}
		v.SetLen(n + 1)
		v = v.Index(n)
		v.SetZero()
	}
	switch {
	case f.kind >= kindString:
		return f.decodeBytes(b, wire, v, depth)
	case f.fixed64:
		return f.decodeFixed(b, wire, v)
	default:
		return f.decodeVarint(b, wire, v)
	}
}

func (f *fieldCodec) decodeVarint(b []byte, wire protowire.Type, v reflect.Value) (int, error) {
	if wire != protowire.VarintType {
		return 0, errWireType
	}
	x, n := protowire.ConsumeVarint(b)
	if n < 0 {
		return 0, protowire.ParseError(n)
	}
	return n, f.setNumber(v, x)
}

func (f *fieldCodec) decodeFixed(b []byte, wire protowire.Type, v reflect.Value) (int, error) {
	if wire != protowire.Fixed64Type {
		return 0, errWireType
	}
	x, n := protowire.ConsumeFixed64(b)
	if n < 0 {
		return 0, protowire.ParseError(n)
	}
	return n, f.setNumber(v, x)
}

func (f *fieldCodec) setNumber(v reflect.Value, x uint64) error {
	switch f.kind {
	case kindBool:
		v.SetBool(x != 0)
	case kindFloat:
		v.SetFloat(math.Float64frombits(x))
	case kindUint:
		if v.OverflowUint(x) {
			return fmt.Errorf("value %d does not fit %s", x, v.Type())
		}
		v.SetUint(x)
	default:
		if v.OverflowInt(int64(x)) {
			return fmt.Errorf("value %d does not fit %s", int64(x), v.Type())
		}
		v.SetInt(int64(x))
	}
	return nil
}

func (f *fieldCodec) decodeBytes(b []byte, wire protowire.Type, v reflect.Value, depth int) (int, error) {
	if wire != protowire.BytesType {
		return 0, errWireType
	}
	x, n := protowire.ConsumeBytes(b)
	if n < 0 {
		return 0, protowire.ParseError(n)
	}
	switch f.kind {
	case kindString:
		v.SetString(string(x))
	case kindBytes:
		v.SetBytes(append([]byte(nil), x...))
	case kindMessage:
		return n, codecOf(f.messageType).decode(x, v, depth+1)
	default:
		if v.IsNil() {
			v.Set(reflect.New(f.messageType))
		}
		return n, codecOf(f.messageType).decode(x, v.Elem(), depth+1)
	}
	return n, nil
}
