package local

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

var errInvalidStatus = errors.New("response does not begin with an HTTP version and a status from 200 to 599")

// dialChecked returns a function that opens connections with dial, or with TCP if that is
// nil, on which responses with an invalid status cannot be read.
func dialChecked(dial fasthttp.DialFunc) fasthttp.DialFuncWithTimeout {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		var c net.Conn
		var err error
		switch {
		case dial != nil:
			c, err = dial(addr)
		case timeout > 0:
			c, err = fasthttp.DialTimeout(addr, timeout)
		default:
			c, err = fasthttp.Dial(addr)
		}
		if err != nil {
			return nil, err
		}
		return &statusConn{Conn: c}, nil
	}
}

// statusConn is a connection of an HTTP client that sends one request after the other. Its
// Read fails on a response without a valid status: fasthttp accepts any three digits, and
// its StatusCode returns 200 for 000. Interim responses fail too, since this client asks for
// none and the status after them would not be checked.
type statusConn struct {
	net.Conn
	read int // bytes of the response that have been checked
}

// statusLine is the begin of a response. # is any digit, S the first digit of a status from
// 200 to 599, and E ends it.
const statusLine = "HTTP/1.# S##E"

// Write begins the next response.
func (c *statusConn) Write(b []byte) (int, error) {
	c.read = 0
	return c.Conn.Write(b)
}

// Read checks the begin of each response.
func (c *statusConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for _, got := range b[:n] {
		if c.read >= len(statusLine) {
			break
		}
		if !matches(statusLine[c.read], got) {
			return 0, errInvalidStatus
		}
		c.read++
	}
	return n, err
}

func matches(want, got byte) bool {
	switch want {
	case '#':
		return got >= '0' && got <= '9'
	case 'S':
		return got >= '2' && got <= '5'
	case 'E':
		return got == ' ' || got == '\r' || got == '\n'
	default:
		return got == want
	}
}
