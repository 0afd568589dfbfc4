package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keys = 65536

// server is a server of the platform, as PROTOCOL.md describes it.
type server struct {
	m         *machine
	id        string
	born      int64
	sharded   bool
	client    http.Client
	http      *http.Server
	ctx       context.Context
	stop      context.CancelFunc
	onArrival func(s *server, id string) // a request that is not refused has arrived

	mu         sync.Mutex
	up         bool
	seq        uint64
	draining   bool // its heartbeats say so
	leaving    bool // its answers say so
	silent     bool // it sends no heartbeats
	ackedDrain time.Time
	running    int
	waiting    int
	fences     [keys]uint32 // of held keys; 0 is not held
	highest    [keys]uint32
	working    [keys]uint8
	workFence  [keys]uint32    // under which the running work on a key began
	heldUntil  [keys]time.Time // end of the hold by the last answer that listed the key
	until      time.Time
	onGiven    func(s *server, given []int) // keys that an answer has given
	freed      [][3]any
	reported   int
	answered   int // heartbeats with an answer
	beatNow    chan struct{}
	wake       chan struct{}
}

func (d *deployment) startServer(m *machine, id string, sharded bool) *server {
	ln, err := net.Listen("tcp", m.addr(portApp))
	if err != nil {
		fatal(err)
	}
	s := &server{m: m, id: id, born: time.Now().UnixMilli(), sharded: sharded, up: true, beatNow: make(chan struct{}, 1), wake: make(chan struct{})}
	s.client.Timeout = time.Second
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, BaseContext: func(net.Listener) context.Context { return s.ctx }}
	go s.http.Serve(ln)
	go s.beats()
	return s
}

// crash ends the server at once.
func (s *server) crash() {
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	s.stop()
	s.http.Close()
}

func (s *server) call(name string, body any) (int, []byte) {
	b, err := json.Marshal(body)
	if err != nil {
		fatal(err)
	}
	r, _ := http.NewRequestWithContext(s.ctx, "POST", "http://"+s.m.addr(portControl)+names["calls"]+"?call="+name+"&of="+s.id, bytes.NewReader(b))
	r.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	t, err := io.ReadAll(resp.Body)
	if err != nil || len(t) > 4<<10 {
		return 0, nil
	}
	return resp.StatusCode, t
}

func (s *server) beats() {
	for s.ctx.Err() == nil {
		pause := heartbeat
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			body, sent, draining := s.nextBeat()
			status, t := s.call(names["beat"], body)
			switch {
			case status == 200:
				pause = s.onReply(t, sent, draining)
			case s.ctx.Err() == nil:
				s.m.d.log("server %s: heartbeat %v got %d %.120s", s.id, body["seq"], status, t)
				pause = heartbeat / 2
			}
		}
		select {
		case <-time.After(pause):
		case <-s.beatNow:
		case <-s.ctx.Done():
		}
	}
}

func (s *server) expire(now time.Time) {
	if !s.until.IsZero() && now.After(s.until) {
		clear(s.fences[:])
		s.until = time.Time{}
	}
}

func (s *server) nextBeat() (map[string]any, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.reported = len(s.freed)
	return map[string]any{
		"service": s.m.service, "address": s.m.addr(portApp), names["place"]: s.m.place, "version": "v1", "slots": slots, "state": state, names["cold_ms"]: 0,
		"seq": s.seq, "born": s.born, "holds": s.rows(), "freed": append([][3]any{}, s.freed...),
	}, now, s.draining
}

// awaitBeat waits until the server has sent another heartbeat and has its answer.
func (s *server) awaitBeat() {
	s.mu.Lock()
	answered := s.answered
	s.mu.Unlock()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		now := s.answered
		s.mu.Unlock()
		if now > answered {
			return
		}
		if time.Now().After(end) {
			fatal("no heartbeat of " + s.id + " is answered")
		}
	}
}

// rows returns the rows that the server holds, and then those that it is still working on
// under another fencing token or without holding them any more.
func (s *server) rows() [][3]any {
	rows := [][3]any{}
	add := func(fence func(k int) uint32) {
		for k := 0; k < keys; k++ {
			f := fence(k)
			if f == 0 {
				continue
			}
			to := k
			for to+1 < keys && fence(to+1) == f {
				to++
			}
			rows = append(rows, [3]any{k, to, f})
			k = to
		}
	}
	add(func(k int) uint32 { return s.fences[k] })
	add(func(k int) uint32 {
		if s.working[k] == 0 || s.workFence[k] == s.fences[k] {
			return 0
		}
		return s.workFence[k]
	})
	return rows
}

func (s *server) onReply(t []byte, sent time.Time, draining bool) time.Duration {
	var reply map[string]json.RawMessage
	var rows *[][4]any
	var holdMs float64
	err := errors.Join(json.Unmarshal(t, &reply), unmarshalIf(reply["holds"], &rows), unmarshalIf(reply[names["hold"]], &holdMs))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if draining && s.ackedDrain.IsZero() {
		s.ackedDrain = now
		s.m.d.log("server %s: the daemon acknowledged that it drains", s.id)
	}
	s.freed = s.freed[s.reported:]
	s.reported = 0
	s.answered++
	s.expire(now)
	if err != nil || rows == nil || !s.up {
		return heartbeat
	}
	var next [keys]uint32
	for _, row := range *rows {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), uint32(row[2].(float64))
		seen := false
		for k := from; k <= to; k++ {
			seen = seen || s.highest[k] > fence
		}
		if seen {
			s.m.d.log("server %s: row %v is not accepted, a higher token was seen", s.id, row)
			continue
		}
		for k := from; k <= to; k++ {
			next[k] = fence
		}
	}
	pause, lost := heartbeat, 0
	var given []int
	until := sent.Add(time.Duration(holdMs * float64(time.Millisecond)))
	for k := range next {
		switch {
		case next[k] != 0:
			if s.fences[k] == 0 {
				given = append(given, k)
			}
			s.highest[k] = next[k]
			s.heldUntil[k] = until
		case s.fences[k] != 0:
			lost++
			pause = 80 * time.Millisecond
			if s.working[k] == 0 {
				s.release(k)
			}
		case s.working[k] > 0:
			pause = 80 * time.Millisecond
		}
	}
	s.fences = next
	s.until = until
	if len(given)+lost > 0 {
		s.m.d.log("server %s: %d keys given, %d taken away, held for %.0f ms", s.id, len(given), lost, holdMs)
	}
	if s.onGiven != nil && len(given) > 0 {
		go s.onGiven(s, given)
	}
	return pause
}

// unmarshalIf decodes a field that may be missing.
func unmarshalIf(b []byte, v any) error {
	if len(b) == 0 {
		return nil
	}
	return json.Unmarshal(b, v)
}

func (s *server) release(k int) {
	token := fmt.Sprintf("%s-%d", s.id, s.seq)
	if n := len(s.freed); n > 0 && s.freed[n-1][1] == k-1 && s.freed[n-1][2] == token {
		s.freed[n-1][1] = k
		return
	}
	s.freed = append(s.freed, [3]any{k, k, token})
}

// held returns how many keys the server holds.
func (s *server) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	n := 0
	for _, f := range s.fences {
		if f != 0 {
			n++
		}
	}
	return n
}

func (s *server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(names["not_run"], "1")
	w.WriteHeader(status)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	s.mu.Lock()
	h.Set(names["load"], fmt.Sprintf("%d,%d,%d", s.running, s.waiting, slots))
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	h.Set("Keep-Alive", "timeout=10")
	h.Set(names["server_id"], s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	h.Set("X-Request-Id", id)
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get(names["deadline"])); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	key := -1
	if s.sharded {
		key, _ = strconv.Atoi(r.Header.Get(names["key"]))
	}
	s.mu.Lock()
	s.expire(time.Now())
	switch {
	case id == "":
		s.mu.Unlock()
		s.refuse(w, 400)
		return
	case r.Header.Get(names["expected"]) != "" && r.Header.Get(names["expected"]) != s.id, key >= 0 && s.fences[key] == 0:
		s.mu.Unlock()
		s.refuse(w, 421)
		return
	}
	if s.onArrival != nil {
		s.onArrival(s, id)
	}
	if s.running >= slots {
		if s.waiting >= queue {
			s.mu.Unlock()
			s.refuse(w, 503)
			return
		}
		s.waiting++
		for s.running >= slots && r.Context().Err() == nil && time.Now().Before(deadline) {
			wake := s.wake
			s.mu.Unlock()
			select {
			case <-wake:
			case <-r.Context().Done():
			case <-time.After(time.Until(deadline)):
			}
			s.mu.Lock()
		}
		s.waiting--
		if s.running >= slots {
			s.mu.Unlock()
			s.refuse(w, 503)
			return
		}
	}
	s.running++
	if key >= 0 {
		if s.working[key] == 0 {
			s.workFence[key] = s.fences[key]
		}
		s.working[key]++
	}
	s.mu.Unlock()
	s.m.d.log("server %s: runs %s: %s %s key %d", s.id, id, r.Method, r.URL, key)
	work := 20 * time.Millisecond
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	status := 200
	select {
	case <-time.After(work):
	case <-time.After(time.Until(deadline)):
		status = 504
	case <-r.Context().Done():
		status = 0
	}
	s.mu.Lock()
	s.running--
	if key >= 0 {
		s.expire(time.Now())
		s.working[key]--
		if s.fences[key] == 0 {
			status = 500
			if s.working[key] == 0 && !s.until.IsZero() {
				s.release(key)
			}
		}
	}
	close(s.wake)
	s.wake = make(chan struct{})
	up := s.up
	s.mu.Unlock()
	if status == 0 || !up {
		panic(http.ErrAbortHandler)
	}
	h.Set(names["signature"], "sig."+s.id+"."+id)
	w.WriteHeader(status)
	io.WriteString(w, "answer to "+id)
}
