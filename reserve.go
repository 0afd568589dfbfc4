package pollenlatch

import (
	"reflect"
	"sync"

	"github.com/segmentio/encoding/proto"
)

// The decoder of segmentio/encoding v0.5.4 crashes when it has to grow a
// repeated field beyond 10 elements: it calls runtime.typedslicecopy with the
// arguments of an older Go. reserve gives every repeated field its capacity
// before decoding, so that the decoder never grows one.

// wireField is a field that may hold repeated fields or is one itself.
type wireField struct {
	index    int
	listed   bool // is or holds a repeated field
	repeated bool
	nested   bool // its elements, or it, are messages with such fields
}

var wireFields sync.Map // reflect.Type of a struct -> []wireField by field number

// fieldsOf returns the fields of a message type that are or hold repeated
// fields, numbered as the decoder does: by tag, otherwise by position among the
// exported fields. Message types must not contain each other in a circle.
func fieldsOf(t reflect.Type) []wireField {
	if m, ok := wireFields.Load(t); ok {
		return m.([]wireField)
	}
	var fields []wireField
	position := 0
	for i := range t.NumField() {
		f := t.Field(i)
		if f.PkgPath != "" {
			continue
		}
		position++
		number := proto.FieldNumber(position)
		if n, ok := tagNumber(f.Tag.Get("protobuf")); ok {
			number = n
		}
		w := wireField{index: i}
		elem := f.Type
		if elem.Kind() == reflect.Slice && elem.Elem().Kind() != reflect.Uint8 {
			w.repeated = true
			elem = elem.Elem()
		}
		if elem.Kind() == reflect.Pointer {
			elem = elem.Elem()
		}
		w.nested = elem.Kind() == reflect.Struct && elem != t && len(fieldsOf(elem)) > 0
		if w.repeated || w.nested {
			w.listed = true
			for len(fields) <= int(number) {
				fields = append(fields, wireField{})
			}
			fields[number] = w
		}
	}
	wireFields.Store(t, fields)
	return fields
}

// tagNumber returns the field number of a tag such as "bytes,3,opt,name=x".
func tagNumber(tag string) (n proto.FieldNumber, ok bool) {
	start := 0
	for start < len(tag) && tag[start] != ',' {
		start++
	}
	for i := start + 1; i < len(tag) && tag[i] >= '0' && tag[i] <= '9'; i++ {
		n = n*10 + proto.FieldNumber(tag[i]-'0')
		ok = true
	}
	return n, ok
}

// reserve prepares a struct for decoding the bodies one after the other.
// Malformed bodies are left to the decoder to refuse.
func reserve(v reflect.Value, bodies ...[]byte) {
	if v.Kind() != reflect.Struct {
		return
	}
	fields := fieldsOf(v.Type())
	if len(fields) == 0 {
		return
	}
	counts := make([]int, len(fields))
	var nested [][][]byte // values by field number
	for _, body := range bodies {
		for len(body) > 0 {
			number, _, value, rest, err := proto.Parse(body)
			if err != nil {
				break
			}
			body = rest
			if number >= proto.FieldNumber(len(fields)) || !fields[number].listed {
				continue
			}
			counts[number]++
			if fields[number].nested {
				if nested == nil {
					nested = make([][][]byte, len(fields))
				}
				nested[number] = append(nested[number], value)
			}
		}
	}
	for number, count := range counts {
		if count == 0 {
			continue
		}
		w := fields[number]
		f := v.Field(w.index)
		if !w.repeated {
			reserve(target(f), nested[number]...)
			continue
		}
		n := f.Len()
		f.Grow(count)
		if !w.nested {
			continue
		}
		all := f.Slice(0, n+count)
		for i, value := range nested[number] {
			reserve(target(all.Index(n+i)), value)
		}
	}
}

// target returns what a field holds, allocated if it is a pointer.
func target(f reflect.Value) reflect.Value {
	if f.Kind() != reflect.Pointer {
		return f
	}
	if f.IsNil() {
		f.Set(reflect.New(f.Type().Elem()))
	}
	return f.Elem()
}
