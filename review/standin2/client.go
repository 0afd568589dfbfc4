package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns an id for one client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// result is what a client saw of one request.
type result struct {
	id     string
	status int // 0 without a complete answer
	header http.Header
	body   []byte
	err    error
	sent   time.Time // when its last byte was sent
	ended  time.Time
}

// conn is a kept connection of a client to the outbound address of its machine.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func (m *machine) dial() (*conn, error) {
	c, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

func head(method, host, path, id string, deadline int, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\n%s\r\n", method, path, host, id, names["deadline"], deadline, more)
}

// exchange sends a request and reads its answer.
func (c *conn) exchange(request, method, id string, wait time.Duration) result {
	res := result{id: id}
	_, res.err = io.WriteString(c, request)
	res.sent = time.Now()
	if res.err == nil {
		c.read(&res, method, wait)
	}
	res.ended = time.Now()
	return res
}

func (c *conn) read(res *result, method string, wait time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		res.err = err
		return
	}
	res.body, res.err = io.ReadAll(resp.Body)
	res.header = resp.Header
	if res.err == nil {
		res.status = resp.StatusCode
	}
}

func (r result) String() string {
	return fmt.Sprintf("status %d, %q, err %v, %.0f ms after the last byte was sent", r.status, r.body[:min(len(r.body), 200)], r.err, float64(r.ended.Sub(r.sent).Microseconds())/1000)
}
