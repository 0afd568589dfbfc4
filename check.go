package pollenlatch

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"strconv"
)

// Errors of malformed messages.
var (
	ErrNotOneField = errors.New("exactly one field must be set")
	ErrNoName      = errors.New("name is empty")
	ErrNoShard     = errors.New("service of a shard is empty")
	ErrBadChunk    = errors.New("chunk lies outside its snapshot")
	ErrBadAddr     = errors.New("address is not host:port with a port from 1 to 65535")
	ErrBadCommands = errors.New("delta must have plain commands, or compressed ones with their count")
	ErrLongName    = fmt.Errorf("name has more than %d bytes", MaxDCBytes)
)

// Check reports whether exactly one kind of message is set and well formed.
func (m *Message) Check() error {
	if err := checkOneField(m); err != nil {
		return err
	}
	switch {
	case m.Renew != nil:
		return m.Renew.Check()
	case m.Delta != nil:
		return m.Delta.Check()
	case m.Release != nil:
		return m.Release.Check()
	case m.Records != nil:
		return m.Records.Shard.Check()
	default:
		return nil
	}
}

// Check reports whether exactly one command is set and well formed.
func (c *Command) Check() error {
	if err := checkOneField(c); err != nil {
		return err
	}
	switch {
	case c.Join != nil && c.Join.Name == "":
		return ErrNoName
	case c.Assign != nil:
		for _, i := range c.Assign.Items {
			if err := i.Check(); err != nil {
				return err
			}
		}
	case c.Freeze != nil:
		for _, i := range c.Freeze.Items {
			if err := i.Check(); err != nil {
				return err
			}
		}
	case c.Change != nil:
		return c.Change.Check()
	case c.Evacuate != nil:
		return c.Evacuate.Check()
	}
	return nil
}

// Check reports whether the data centre has a name of a valid length.
func (e *Evacuate) Check() error {
	switch {
	case e.DC == "":
		return ErrNoName
	case len(e.DC) > MaxDCBytes:
		return ErrLongName
	}
	return nil
}

// Check reports whether the sender is named.
func (r *Renew) Check() error {
	if r.Name == "" {
		return ErrNoName
	}
	return nil
}

// Check reports whether the commands and the chunk are well formed.
func (d *Delta) Check() error {
	for i := range d.Commands {
		if err := d.Commands[i].Check(); err != nil {
			return fmt.Errorf("command %d: %w", i, err)
		}
	}
	if (d.Count > 0) != (len(d.Compressed) > 0) || (d.Count > 0 && len(d.Commands) > 0) {
		return ErrBadCommands
	}
	if p := d.Chunk; p != nil {
		if p.Total < p.Offset || uint64(len(p.Data)) > p.Total-p.Offset {
			return ErrBadChunk
		}
	}
	return nil
}

// Check reports whether every shard is named.
func (r *Release) Check() error {
	for _, i := range r.Items {
		if err := i.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check reports whether the shard names a service.
func (s Shard) Check() error {
	if s.Service == "" {
		return ErrNoShard
	}
	return nil
}

// Check reports whether the head names a service and a method.
func (h *RequestHead) Check() error {
	if h.Service == "" || h.Method == "" {
		return ErrNoName
	}
	return nil
}

// ValidStatus reports whether a status is that of an HTTP response.
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// Check reports whether the status is a valid HTTP status code.
func (h *ResponseHead) Check() error {
	if !ValidStatus(int(h.Status)) {
		return fmt.Errorf("status %d is not an HTTP status", h.Status)
	}
	return nil
}

// checkOneField reports whether exactly one field of the struct that v points to
// differs from its zero value.
func checkOneField(v any) error {
	e := reflect.ValueOf(v).Elem()
	n := 0
	for i := range e.NumField() {
		if !e.Field(i).IsZero() {
			n++
		}
	}
	if n != 1 {
		return fmt.Errorf("%w, not %d", ErrNotOneField, n)
	}
	return nil
}

// CheckAddr reports whether a TCP address has a host, and a port from 1 to 65535. The
// error wraps ErrBadAddr.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return fmt.Errorf("%w: %q", ErrBadAddr, addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%w: %q", ErrBadAddr, addr)
	}
	return nil
}
