package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// maxCancelTime is the time within which the owner must stop work for a caller that has
// disconnected.
const maxCancelTime = 500 * time.Millisecond

// gatedConn is a connection whose reads or writes wait while a gate is closed.
type gatedConn struct {
	*net.TCPConn
	reads, writes *gate
}

func (c gatedConn) Read(b []byte) (int, error) {
	c.reads.wait()
	return c.TCPConn.Read(b)
}

func (c gatedConn) Write(b []byte) (int, error) {
	c.writes.wait()
	return c.TCPConn.Write(b)
}

// gate is open in its zero state.
type gate struct {
	closed atomic.Pointer[chan struct{}]
}

func (g *gate) wait() {
	if c := g.closed.Load(); c != nil {
		<-*c
	}
}

// close closes the gate until the returned function is called.
func (g *gate) close() (reopen func()) {
	c := make(chan struct{})
	g.closed.Store(&c)
	return sync.OnceFunc(func() {
		g.closed.Store(nil)
		close(c)
	})
}

type gatedListener struct {
	net.Listener
	reads, writes *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c.(*net.TCPConn), l.reads, l.writes}, nil
}

// gatedPair returns a node, and the address of an owner whose reads and writes wait at
// the gates.
func gatedPair(t *testing.T, h pollenlatch.HandlerFunc) (client *Node, addr string, reads, writes *gate) {
	t.Helper()
	owner, err := New(Config{Group: "g", Name: "b", Incarnation: 7, Key: testKey, RequestHandler: h})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	reads, writes = new(gate), new(gate)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = owner.Serve(gatedListener{l, reads, writes})
	}()
	t.Cleanup(func() { require.NoError(t, owner.Close()); <-served })
	client, _ = testNode(t, "a", nil)
	return client, l.Addr().String(), reads, writes
}

// forwardAll forwards n requests at the same time until ctx ends.
func forwardAll(ctx context.Context, client *Node, addr string, n int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			resp, err := client.Forward(ctx, addr, request(nil, 0))
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	return &wg
}

// Guards against work for callers that have disconnected, while the link back to their
// instance is full: each cancellation must not wait for a write there.
func TestCancellationsDoNotWaitForWrites(t *testing.T) {
	const n = 8
	started, ended := make(chan struct{}, n), make(chan struct{}, n)
	client, addr, _, writes := gatedPair(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	wg := forwardAll(ctx, client, addr, n)
	for range n {
		<-started
	}
	reopen := writes.close()
	defer reopen()
	cancel()
	timeout := time.After(maxCancelTime)
	for k := range n {
		select {
		case <-ended:
		case <-timeout:
			t.Fatalf("%d of %d requests were still running %v after their callers had disconnected", n-k, n, maxCancelTime)
		}
	}
	reopen()
	wg.Wait()
}

// Guards against requests that an owner starts although their cancellations have
// arrived: an owner that is behind finds both in its input.
func TestRequestsReadWithTheirCancellations(t *testing.T) {
	const n = 40
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var started, abandoned atomic.Int64
	client, addr, reads, _ := gatedPair(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
		if pollenlatch.CallerLeft(ctx) {
			abandoned.Add(1)
			return nil, ctx.Err()
		}
		started.Add(1)
		return response(http.NoBody, 0), nil
	})
	forwardAll(t.Context(), client, addr, n).Wait()
	require.EqualValues(t, n, started.Swap(0))
	reopen := reads.close()
	defer reopen()
	ctx, cancel := context.WithCancel(t.Context())
	wg := forwardAll(ctx, client, addr, n)
	<-time.After(maxCancelTime / 10)
	started.Store(0) // those that a read in progress has returned
	cancel()
	wg.Wait()
	<-time.After(maxCancelTime / 10)
	reopen()
	<-time.After(maxCancelTime / 5)
	require.Zero(t, started.Load(), "of %d requests, %d were started and %d were not", n, started.Load(), abandoned.Load())
}

// Guards against requests that are sent to an owner although their callers have
// disconnected while the link to it was opened.
func TestForwardChecksCallerBeforeSending(t *testing.T) {
	var started atomic.Int64
	h := func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
		started.Add(1)
		return response(http.NoBody, 0), nil
	}
	_, addr := testNode(t, "b", func(c *Config) { c.RequestHandler = pollenlatch.HandlerFunc(h) })
	caller := new(departure)
	client, _ := testNode(t, "a", func(c *Config) {
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			caller.left.Store(true)
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	})
	ctx := pollenlatch.WithPresence(t.Context(), caller)
	_, err := client.Forward(ctx, addr, request(nil, 0))
	requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled)
	caller.left.Store(false)
	resp, err := client.Forward(ctx, addr, request(nil, 0)) // on the stream of the first
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.EqualValues(t, 1, started.Load())
}

// Guards against large bodies that are sent to an owner although their callers have
// disconnected while the request waited there: nothing reads the caller's connection
// meanwhile, so no context ends.
func TestForwardChecksCallerBeforeBody(t *testing.T) {
	const size = 100 << 10
	for _, tt := range []struct {
		name  string
		first int // bytes that are requested before the caller leaves
	}{
		{"before the first byte", 0},
		{"in the middle", 20_000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			caller := new(departure)
			arrived := make(chan error, 1)
			h := func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
				b := r.Body.(pollenlatch.RequestedBody)
				if tt.first > 0 {
					if err := b.Request(tt.first); err != nil {
						return nil, err
					}
					if _, err := io.CopyN(io.Discard, r.Body, int64(tt.first)); err != nil {
						return nil, err
					}
				}
				caller.left.Store(true)
				err := b.Request(size - tt.first)
				if err == nil {
					_, err = io.Copy(io.Discard, r.Body)
				}
				<-ctx.Done()
				arrived <- err
				return nil, ctx.Err()
			}
			client, _, addr := pair(t, h)
			body := &countedBody{Reader: bytes.NewReader(make([]byte, size))}
			ctx, cancel := context.WithTimeout(pollenlatch.WithPresence(t.Context(), caller), 2*time.Second)
			defer cancel()
			_, err := client.Forward(ctx, addr, largeRequest(body, size))
			var f *pollenlatch.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, pollenlatch.ReasonCancelled, f.Reason)
			require.NoError(t, ctx.Err(), "the request went on until its end")
			require.Error(t, <-arrived)
			require.LessOrEqual(t, body.read.Load(), int64(tt.first))
		})
	}
}

// departure is the presence of a caller that leaves when a test says so.
type departure struct{ left atomic.Bool }

func (d *departure) Left() bool { return d.left.Load() }
