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

// dialledConns records the connections that were dialled, so that their bytes can
// be read from the kernel. Wrapped connections that count bytes would prevent
// package link from writing a message in one system call.
type dialledConns struct {
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (d *dialledConns) dial(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		d.mu.Lock()
		d.conns = append(d.conns, t)
		d.mu.Unlock()
	}
	return c, nil
}

// tcpTraffic is the traffic of TCP connections in both directions.
type tcpTraffic struct {
	bytes    float64 // payload
	segments float64 // including acknowledgements
}

func (t tcpTraffic) since(before tcpTraffic) tcpTraffic {
	return tcpTraffic{bytes: t.bytes - before.bytes, segments: t.segments - before.segments}
}

// traffic returns the total traffic of the connections so far.
func (d *dialledConns) traffic() (t tcpTraffic, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		raw, err := c.SyscallConn()
		if err != nil {
			return tcpTraffic{}, err
		}
		var info *unix.TCPInfo
		var sockoptErr error
		err = raw.Control(func(fd uintptr) { info, sockoptErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		if err = errors.Join(err, sockoptErr); err != nil {
			return tcpTraffic{}, err
		}
		t.bytes += float64(info.Bytes_acked + info.Bytes_received)
		t.segments += float64(info.Segs_out + info.Segs_in)
	}
	return t, nil
}

// sessionSeconds is the time over which renewals are sent in measureControlSessions.
const sessionSeconds = 3

// measureSessions measures renewals over control sessions on the loopback
// interface, ten per second on each session, and the memory of a session. Both
// ends are in this process.
func measureSessions(ctx context.Context, r *Report) error {
	for _, n := range []int{50, 100, 200} {
		if err := measureControlSessions(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureControlSessions(ctx context.Context, r *Report, count int) (err error) {
	const perSecond = 10
	reply := &pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{
		Seq: 1000, Lease: 10_000, TTL: 500 * time.Millisecond, Version: 20_000, InForce: 20_000,
	}}
	request := &pollenlatch.Message{Renew: &pollenlatch.Renew{
		Seq: 1000, Lease: 10_000, Version: 20_000, Incarnation: 1 << 63, Name: daemonName(1),
	}}
	leader, err := link.New(link.Config{
		Group: "g", Name: "leader", Incarnation: 1, Key: sharedKey,
		ControlHandler: func(from link.Peer, _ *pollenlatch.Message) { from.Send(reply) },
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, leader.Close()) }()
	addr, err := leader.Listen(loopback)
	if err != nil {
		return err
	}
	var replies atomic.Int64
	var conns dialledConns
	heapBefore := heapBytes()
	nodes := make([]*link.Node, 0, count)
	defer func() {
		for _, c := range nodes {
			err = errors.Join(err, c.Close())
		}
	}()
	for i := range count {
		c, err := link.New(link.Config{
			Group: "g", Name: daemonName(i), Incarnation: 1, Key: sharedKey, Dial: conns.dial,
			ControlHandler: func(link.Peer, *pollenlatch.Message) { replies.Add(1) },
		})
		if err != nil {
			return err
		}
		nodes = append(nodes, c)
		c.Send(addr.String(), request)
	}
	if err := waitUntil(ctx, func() bool { return replies.Load() >= int64(count) }); err != nil {
		return fmt.Errorf("%d of %d control sessions received a reply: %w", replies.Load(), count, err)
	}
	r.add(PartSession, "heap and stacks of one control session, one end", "session", "KB", float64(count), (heapBytes()-heapBefore)/float64(2*count)/1e3)
	replies.Store(0)
	before, err := conns.traffic()
	if err != nil {
		return err
	}
	tick := time.NewTicker(time.Second / perSecond / 10)
	defer tick.Stop()
	start := cpuTime()
	for k := range sessionSeconds * perSecond * 10 {
		<-tick.C
		for i := k % 10; i < count; i += 10 {
			nodes[i].Send(addr.String(), request)
		}
	}
	want := int64(count * sessionSeconds * perSecond)
	if err := waitUntil(ctx, func() bool { return replies.Load() >= want }); err != nil {
		return fmt.Errorf("%d of %d renewals received a reply: %w", replies.Load(), want, err)
	}
	spent := cpuTime() - start
	renewals := float64(want)
	after, err := conns.traffic()
	if err != nil {
		return err
	}
	sent := after.since(before)
	r.add(PartSession, "one renewal and its answer, one end", "session", "µs", float64(count), micros(spent)/renewals/2)
	r.add(PartSession, "one renewal and its answer, bytes of the stream", "session", "B", float64(count), sent.bytes/renewals)
	r.add(PartSession, "one renewal and its answer, segments", "session", "1", float64(count), sent.segments/renewals)
	r.add(PartSession, "one renewal and its answer, with TCP/IP", "session", "B", float64(count), (sent.bytes+sent.segments*packetHeaderBytes)/renewals)
	return nil
}

var errTimeout = errors.New("condition not met within 10 s")

// waitUntil waits until done returns true.
func waitUntil(ctx context.Context, done func() bool) error {
	for range 10_000 {
		if done() {
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

// responseBodyBytes is the size of the body of a response to a forwarded request.
const responseBodyBytes = 512

// measureForward measures requests that are forwarded over the loopback interface,
// and the memory of their sessions. Both ends, the entry daemon and the owner, are
// in this process.
func measureForward(ctx context.Context, r *Report) (err error) {
	owner, err := newOwner()
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, owner.Close()) }()
	for _, n := range []int{1, 8, 64} {
		if err := measureConcurrentForwards(ctx, r, owner, n); err != nil {
			return err
		}
	}
	for _, n := range []int{64, 128, 256} {
		if err := measureSessionMemory(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

// newOwner returns a node that responds to every request.
func newOwner() (*link.Node, error) {
	body := bytes.Repeat([]byte("a"), responseBodyBytes)
	return link.New(link.Config{
		Group: "g", Name: "owner", Incarnation: 1, Key: sharedKey,
		RequestHandler: pollenlatch.HandlerFunc(func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
			return &pollenlatch.Response{
				ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: responseBodyBytes},
				Body:         io.NopCloser(bytes.NewReader(body)),
			}, nil
		}),
	})
}

// newEntry returns a node that forwards requests.
func newEntry(conns *dialledConns) (*link.Node, error) {
	return link.New(link.Config{Group: "g", Name: "entry", Incarnation: 1, Key: sharedKey, Dial: conns.dial})
}

func forwardRequest(ctx context.Context, c *link.Node, addr string) error {
	resp, err := c.Forward(ctx, addr, &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{
		Service: listing, Key: "lot-000001", Method: "GET", URI: "/lots/1",
	}, Deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func measureConcurrentForwards(ctx context.Context, r *Report, owner *link.Node, workers int) (err error) {
	const requests = 100_000
	var conns dialledConns
	c, err := newEntry(&conns)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	addr, err := owner.Listen(loopback)
	if err != nil {
		return err
	}
	if err := forwardRequest(ctx, c, addr.String()); err != nil {
		return err
	}
	before, err := conns.traffic()
	if err != nil {
		return err
	}
	var remaining atomic.Int64
	remaining.Store(requests)
	errs := make(chan error, workers)
	wallStart, cpuStart := time.Now(), cpuTime()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := forwardRequest(ctx, c, addr.String()); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	cpuSpent, elapsed := cpuTime()-cpuStart, time.Since(wallStart)
	select {
	case err := <-errs:
		return err
	default:
	}
	after, err := conns.traffic()
	if err != nil {
		return err
	}
	sent := after.since(before)
	x := float64(workers)
	r.add(PartForward, "both ends, one request", "request in flight", "µs", x, micros(cpuSpent)/requests)
	r.add(PartForward, "requests for each core, both ends", "request in flight", "1/s", x, requests/cpuSpent.Seconds())
	r.add(PartForward, "requests, elapsed time", "request in flight", "1/s", x, requests/elapsed.Seconds())
	r.add(PartForward, "bytes of the stream, one request", "request in flight", "B", x, sent.bytes/requests)
	r.add(PartForward, "segments, one request", "request in flight", "1", x, sent.segments/requests)
	return nil
}

// listenersPerOwner is the number of addresses that one node listens on. It is
// limited because each listener that waits for a connection takes one of the node's
// handshake slots.
const listenersPerOwner = 32

func measureSessionMemory(ctx context.Context, r *Report, count int) (err error) {
	var conns dialledConns
	c, err := newEntry(&conns)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	addrs := make([]string, count)
	var owner *link.Node
	for i := range addrs {
		if i%listenersPerOwner == 0 {
			s, err := newOwner()
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, s.Close()) }()
			owner = s
		}
		a, err := owner.Listen(loopback)
		if err != nil {
			return err
		}
		addrs[i] = a.String()
	}
	before := heapBytes()
	for _, a := range addrs {
		if err := forwardRequest(ctx, c, a); err != nil {
			return err
		}
	}
	r.add(PartForward, "heap and stacks of one session, one end", "session", "KB", float64(count), (heapBytes()-before)/float64(2*count)/1e3)
	runtime.KeepAlive(c)
	return nil
}
