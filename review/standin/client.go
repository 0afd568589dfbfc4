package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// answer is what a client got.
type answer struct {
	id     string
	status int // 0: the connection ended without a complete answer
	signed bool
	err    error
}

var clients = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends one attempt of a client to the outbound address of a machine.
func (d *deployment) send(m *machine, method, host, path string, key int, deadline time.Duration) answer {
	id := fmt.Sprintf("q%05d", lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == "POST" {
		body = strings.NewReader("claim " + id)
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+m.addr(portOutbound)+path, body)
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set(names["deadline"], fmt.Sprint(deadline.Milliseconds()))
	if key >= 0 {
		r.Header.Set(names["key"], fmt.Sprint(key))
	}
	d.log("client at %s: %s sent: %s %s key %d", m.name, id, method, path, key)
	resp, err := clients.Do(r)
	a := answer{id: id, err: err}
	if err == nil {
		var b []byte
		b, a.err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if a.err == nil {
			a.status = resp.StatusCode
		}
		a.signed = resp.Header.Get(names["signature"]) != ""
		d.log("client at %s: %s answered %d signed=%v err=%v %.160s", m.name, id, resp.StatusCode, a.signed, a.err, b)
	} else {
		d.log("client at %s: %s got no answer: %v", m.name, id, err)
	}
	return a
}
