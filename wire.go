package pollenlatch

import (
	"fmt"
	"reflect"

	"github.com/segmentio/encoding/proto"
)

// Checker is a decoded value that can tell whether it is well formed.
type Checker interface {
	Check() error
}

// WireError says that a message could not be decoded or is not well formed.
type WireError struct {
	Type string // Go type of the message
	Err  error
}

// Error returns the message's type and the cause.
func (e *WireError) Error() string { return fmt.Sprintf("message %s: %v", e.Type, e.Err) }

// Unwrap returns the cause.
func (e *WireError) Unwrap() error { return e.Err }

// Encode returns the protobuf encoding of v.
func Encode(v any) ([]byte, error) {
	b, err := proto.Marshal(v)
	if err != nil {
		return nil, &WireError{Type: fmt.Sprintf("%T", v), Err: err}
	}
	return b, nil
}

// Decode reads the protobuf encoding of v and checks the result.
func Decode(b []byte, v Checker) error {
	if e := reflect.ValueOf(v); e.Kind() == reflect.Pointer && !e.IsNil() {
		reserve(e.Elem(), b)
	}
	if err := proto.Unmarshal(b, v); err != nil {
		return &WireError{Type: fmt.Sprintf("%T", v), Err: err}
	}
	if err := v.Check(); err != nil {
		return &WireError{Type: fmt.Sprintf("%T", v), Err: err}
	}
	return nil
}
