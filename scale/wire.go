package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"pollenlatch"
	"pollenlatch/link"
)

const loopback = "127.0.0.1:0"

var sharedKey = bytes.Repeat([]byte("k"), 16)

// sockets keeps the connections that were dialled. The kernel counts their
// bytes: a wrapper would keep package link from writing a message at once.
type sockets struct {
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (s *sockets) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		s.mu.Lock()
		s.conns = append(s.conns, t)
		s.mu.Unlock()
	}
	return c, nil
}

// traffic is what went over connections in both directions.
type traffic struct {
	bytes    float64 // of the streams
	segments float64 // acknowledgements included
}

func (t traffic) since(before traffic) traffic {
	return traffic{bytes: t.bytes - before.bytes, segments: t.segments - before.segments}
}

func (s *sockets) traffic() (t traffic, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		raw, err := c.SyscallConn()
		if err != nil {
			return traffic{}, err
		}
		var info *unix.TCPInfo
		var get error
		err = raw.Control(func(fd uintptr) { info, get = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		if err = errors.Join(err, get); err != nil {
			return traffic{}, err
		}
		t.bytes += float64(info.Bytes_acked + info.Bytes_received)
		t.segments += float64(info.Segs_out + info.Segs_in)
	}
	return t, nil
}

// sessionSeconds is how long renewals are paced over real sessions.
const sessionSeconds = 3

// measureSessions measures renewals over control sessions on loopback, ten a
// second on each, and the memory of a session. Both ends are in this process.
func measureSessions(ctx context.Context, r *Report) error {
	for _, n := range []int{50, 100, 200} {
		if err := sessions(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func sessions(ctx context.Context, r *Report, n int) (err error) {
	const perSecond = 10
	answer := &pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{
		Seq: 1000, Lease: 10_000, TTL: 500 * time.Millisecond, Version: 20_000, InForce: 20_000,
	}}
	request := &pollenlatch.Message{Renew: &pollenlatch.Renew{
		Seq: 1000, Lease: 10_000, Version: 20_000, Incarnation: 1 << 63, Name: daemonName(1),
	}}
	server, err := link.New(link.Config{
		Group: "g", Name: "leader", Incarnation: 1, Key: sharedKey,
		ControlHandler: func(from link.Peer, _ *pollenlatch.Message) { from.Send(answer) },
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, server.Close()) }()
	addr, err := server.Listen(loopback)
	if err != nil {
		return err
	}
	var answers atomic.Int64
	var dialled sockets
	held := heap()
	nodes := make([]*link.Node, 0, n)
	defer func() {
		for _, c := range nodes {
			err = errors.Join(err, c.Close())
		}
	}()
	for i := range n {
		c, err := link.New(link.Config{
			Group: "g", Name: daemonName(i), Incarnation: 1, Key: sharedKey, Dial: dialled.dial,
			ControlHandler: func(link.Peer, *pollenlatch.Message) { answers.Add(1) },
		})
		if err != nil {
			return err
		}
		nodes = append(nodes, c)
		c.Send(addr.String(), request)
	}
	if err := await(ctx, func() bool { return answers.Load() >= int64(n) }); err != nil {
		return fmt.Errorf("%d of %d control sessions answered: %w", answers.Load(), n, err)
	}
	r.add(Session, "heap and stacks of one control session, one end", "session", "KB", float64(n), (heap()-held)/float64(2*n)/1e3)
	answers.Store(0)
	before, err := dialled.traffic()
	if err != nil {
		return err
	}
	tick := time.NewTicker(time.Second / perSecond / 10)
	defer tick.Stop()
	start := cpu()
	for k := range sessionSeconds * perSecond * 10 {
		<-tick.C
		for i := k % 10; i < n; i += 10 {
			nodes[i].Send(addr.String(), request)
		}
	}
	want := int64(n * sessionSeconds * perSecond)
	if err := await(ctx, func() bool { return answers.Load() >= want }); err != nil {
		return fmt.Errorf("%d of %d renewals answered: %w", answers.Load(), want, err)
	}
	spent := cpu() - start
	per := float64(want)
	after, err := dialled.traffic()
	if err != nil {
		return err
	}
	went := after.since(before)
	r.add(Session, "one renewal and its answer, one end", "session", "µs", float64(n), micros(spent)/per/2)
	r.add(Session, "one renewal and its answer, bytes of the stream", "session", "B", float64(n), went.bytes/per)
	r.add(Session, "one renewal and its answer, segments", "session", "1", float64(n), went.segments/per)
	r.add(Session, "one renewal and its answer, with TCP/IP", "session", "B", float64(n), (went.bytes+went.segments*tcpBytes)/per)
	return nil
}

var errTimeout = errors.New("no end after 10 s")

func await(ctx context.Context, ok func() bool) error {
	for range 10_000 {
		if ok() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return errTimeout
}

// bodyBytes is the size of a forwarded answer's body.
const bodyBytes = 512

// measureForward measures forwarded requests over sessions on loopback. Caller's
// side and owner's side are in this process.
func measureForward(ctx context.Context, r *Report) (err error) {
	server, err := newOwner()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, server.Close()) }()
	for _, n := range []int{1, 8, 64} {
		if err := forward(ctx, r, server, n); err != nil {
			return err
		}
	}
	for _, n := range []int{64, 128, 256} {
		if err := manySessions(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

// newOwner returns a node that answers every request.
func newOwner() (*link.Node, error) {
	body := bytes.Repeat([]byte("a"), bodyBytes)
	return link.New(link.Config{
		Group: "g", Name: "owner", Incarnation: 1, Key: sharedKey,
		RequestHandler: pollenlatch.HandlerFunc(func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return &pollenlatch.Response{
				ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: bodyBytes},
				Body:         io.NopCloser(bytes.NewReader(body)),
			}, nil
		}),
	})
}

func forwardClient(dialled *sockets) (*link.Node, error) {
	return link.New(link.Config{Group: "g", Name: "entry", Incarnation: 1, Key: sharedKey, Dial: dialled.dial})
}

func forwardOne(ctx context.Context, c *link.Node, addr string) error {
	w, err := c.Forward(ctx, addr, &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{
		Service: listing, Key: "lot-000001", Method: "GET", URI: "/lots/1",
	}, Deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, w.Body)
	return err
}

func forward(ctx context.Context, r *Report, server *link.Node, workers int) (err error) {
	const requests = 100_000
	var dialled sockets
	c, err := forwardClient(&dialled)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	addr, err := server.Listen(loopback)
	if err != nil {
		return err
	}
	if err := forwardOne(ctx, c, addr.String()); err != nil {
		return err
	}
	before, err := dialled.traffic()
	if err != nil {
		return err
	}
	var left atomic.Int64
	left.Store(requests)
	errs := make(chan error, workers)
	begin, start := time.Now(), cpu()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				if err := forwardOne(ctx, c, addr.String()); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	spent, took := cpu()-start, time.Since(begin)
	select {
	case err := <-errs:
		return err
	default:
	}
	after, err := dialled.traffic()
	if err != nil {
		return err
	}
	went := after.since(before)
	x := float64(workers)
	r.add(Forward, "both ends, one request", "request in flight", "µs", x, micros(spent)/requests)
	r.add(Forward, "requests for each core, both ends", "request in flight", "1/s", x, requests/spent.Seconds())
	r.add(Forward, "requests, elapsed time", "request in flight", "1/s", x, requests/took.Seconds())
	r.add(Forward, "bytes of the stream, one request", "request in flight", "B", x, went.bytes/requests)
	r.add(Forward, "segments, one request", "request in flight", "1", x, went.segments/requests)
	return nil
}

// ownerListeners is how many addresses one node listens at. Each listener that
// waits for a connection takes one of the node's slots for handshakes.
const ownerListeners = 32

func manySessions(ctx context.Context, r *Report, n int) (err error) {
	var dialled sockets
	c, err := forwardClient(&dialled)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	addrs := make([]string, n)
	var server *link.Node
	for i := range addrs {
		if i%ownerListeners == 0 {
			s, err := newOwner()
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, s.Close()) }()
			server = s
		}
		a, err := server.Listen(loopback)
		if err != nil {
			return err
		}
		addrs[i] = a.String()
	}
	before := heap()
	for _, a := range addrs {
		if err := forwardOne(ctx, c, a); err != nil {
			return err
		}
	}
	r.add(Forward, "heap and stacks of one session, one end", "session", "KB", float64(n), (heap()-before)/float64(2*n)/1e3)
	runtime.KeepAlive(c)
	return nil
}
