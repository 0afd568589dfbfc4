// Package sock inspects TCP sockets without reading from them.
package sock

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of the receiving direction of a connection.
type State int

// States of a connection.
const (
	Idle     State = iota // open, and there is nothing to read
	Readable              // there is unread data; the peer may have closed behind it
	Closed                // the peer has closed, or the connection is broken
)

// Raw returns the socket of a connection, or nil if it has none.
func Raw(c net.Conn) syscall.RawConn {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Peek returns the state of a socket. It does not block, and works while another
// goroutine reads from the connection.
func Peek(raw syscall.RawConn) State {
	state := Closed
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	for {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return Idle
		case err != nil || n == 0:
			return Closed
		default:
			return Readable
		}
	}
}

// PeerClosed reports whether the peer has closed its side of the connection. It sees
// that also behind unread data where the system tells.
func PeerClosed(raw syscall.RawConn) bool {
	closed := true
	err := raw.Control(func(fd uintptr) {
		state := peek(int(fd))
		closed = state == Closed || (state == Readable && closedBehindData(int(fd)))
	})
	return err != nil || closed
}
