package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["late-deregistration"] = lateDeregistration }

// lateDeregistration: a server deregisters and exits. The call is held up by a partition
// between the server and its daemon, and arrives after the server has started again under
// its id.
func lateDeregistration(w *world) bool {
	const host = "jepu9.example"
	w.addCore(5)
	a, b := w.addEdge("claims"), w.addEdge("depot")
	more := []*machine{w.addEdge("claims"), w.addEdge("claims")}
	for _, m := range w.machines {
		m.run()
	}
	for n, m := range more { // three servers of the other service, so that one of four is cut off
		s := m.startServer([]string{"i-3", "i-4"}[n], 9, false, 30*time.Millisecond)
		defer s.stop()
	}
	sa := a.startServer("i-1", 9, false, 30*time.Millisecond)
	defer sa.stop()
	first := b.startServer("i-2", 9, false, 30*time.Millisecond)
	defer first.stop()
	if s := w.order(patch(object{"r-1": route(host, "/claim/", "unsafe", "claims", 3000, 800, 1, 7)}, object{"claims": service(false, 7), "depot": service(false, 7)}), 15*time.Second); s != 200 {
		must(errNotReady)
	}
	if !w.awaitReady(15*time.Second, a, b) {
		must(errNotReady)
	}
	if s := w.order(patch(object{"r-2": route(host, "/depot/", "safe", "depot", 800, 200, 1, 9)}, nil), 15*time.Second); s != 200 {
		must(errNotReady)
	}
	time.Sleep(contact + applyTime)
	phase := func(name string, seconds int) (claims, depot int) {
		for n := range 5 * seconds {
			m := []*machine{a, b}[n%2]
			for _, x := range []struct {
				path, method, more string
				deadline           int
				served             *int
			}{{"/claim/", "POST", "Content-Length: 0\r\n", 3000, &claims}, {"/depot/", "GET", "", 800, &depot}} {
				c, err := m.dial()
				must(err)
				id := newID()
				res := c.exchange(head(x.method, host, x.path+id, id, x.deadline, x.more), x.method, id, 3500*time.Millisecond)
				_ = c.Close()
				if res.status == 200 {
					*x.served++
				} else {
					w.note("client at %s: %s %s %s %v", m.name, id, x.method, x.path, res)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.note("%s: of %d requests each, %d on the first route were served and %d on the route added later", name, 5*seconds, claims, depot)
		return claims, depot
	}
	if c, d := phase("before", 4); c == 0 || d == 0 {
		must(errNotReady)
	}
	// The partition begins: what the server sends to its daemon is held up.
	call := fmt.Sprintf(`{"born":%d}`, first.born)
	request := fmt.Sprintf("POST %s%s&of=%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", names["calls"], names["leave"], first.id, b.control(), len(call), call)
	var held net.Conn
	if w.trouble {
		var err error
		held, err = net.Dial("tcp", b.control())
		must(err)
		defer func() { _ = held.Close() }()
		w.note("server i-2, born %d, deregisters; the call is held up", first.born)
	}
	time.Sleep(time.Second) // the call has no answer
	w.note("server i-2, born %d, exits", first.born)
	first.stop()
	time.Sleep(2 * time.Second)
	second := b.startServer("i-2", 9, false, 30*time.Millisecond)
	defer second.stop()
	w.note("server i-2 has started again, born %d", second.born)
	time.Sleep(2 * time.Second)
	if held != nil {
		_, err := io.WriteString(held, request)
		must(err)
		answer := make([]byte, 200)
		_ = held.SetReadDeadline(time.Now().Add(2 * time.Second))
		n, _ := held.Read(answer)
		w.note("the call of the server born %d arrives; its answer is %q", first.born, strings.SplitN(string(answer[:n]), "\r\n", 2)[0])
	}
	time.Sleep(contact + 2*time.Second)
	claims, depot := phase("steady state", 5)
	if 4*depot < claims {
		w.note("CONFIG: the route added later is served less than a quarter as often as the first one, though its server is sound")
		return true
	}
	return false
}
