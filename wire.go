package pollenlatch

import (
	"fmt"
	"reflect"
)

// Checker is implemented by decoded values that can be checked for being well
// formed.
type Checker interface {
	Check() error
}

// WireError says that a message could not be encoded or decoded, or is malformed.
type WireError struct {
	Type string // Go type of the message
	Err  error
}

func (e *WireError) Error() string { return fmt.Sprintf("message %s: %v", e.Type, e.Err) }

func (e *WireError) Unwrap() error { return e.Err }

// Encode returns the protobuf encoding of v, a pointer to a tagged struct.
func Encode(v any) ([]byte, error) { return Append(nil, v) }

// Append appends the protobuf encoding of v, a pointer to a tagged struct, to b.
func Append(b []byte, v any) ([]byte, error) {
	p := reflect.ValueOf(v)
	if p.Kind() != reflect.Pointer || p.IsNil() || p.Elem().Kind() != reflect.Struct {
		return nil, &WireError{Type: fmt.Sprintf("%T", v), Err: errNotStructPointer}
	}
	return codecOf(p.Type().Elem()).append(b, p.Elem()), nil
}

// Decode decodes b into v, a pointer to a tagged struct, and checks the result.
// It merges into what v holds already. v keeps no reference to b.
func Decode(b []byte, v Checker) error {
	p := reflect.ValueOf(v)
	if p.Kind() != reflect.Pointer || p.IsNil() || p.Elem().Kind() != reflect.Struct {
		return &WireError{Type: fmt.Sprintf("%T", v), Err: errNotStructPointer}
	}
	if err := codecOf(p.Type().Elem()).decode(b, p.Elem(), 0); err != nil {
		return &WireError{Type: fmt.Sprintf("%T", v), Err: err}
	}
	if err := v.Check(); err != nil {
		return &WireError{Type: fmt.Sprintf("%T", v), Err: err}
	}
	return nil
}
