package link

import (
	"context"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func exchangeOnce(t *testing.T, n *Node, addr string) {
	t.Helper()
	resp, err := n.Forward(t.Context(), addr, request(nil, 0))
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
}

func (n *Node) outboundAddrs() map[string]bool {
	n.outbound.mu.Lock()
	defer n.outbound.mu.Unlock()
	m := make(map[string]bool)
	for addr := range n.outbound.sessions {
		m[addr] = true
	}
	return m
}

// Without a limit on sessions, a daemon that forwards requests to all others would
// exhaust its memory.
func TestSessionLimit(t *testing.T) {
	client, _ := testNode(t, "a", func(c *Config) { c.MaxRequestSessions = 2 })
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	var addrs []string
	for range 3 {
		_, addr := testNode(t, "b", func(c *Config) {
			c.RequestHandler = pollenlatch.HandlerFunc(func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
				if r.Key == "wait" {
					started <- struct{}{}
					<-release
				}
				return echo(ctx, r)
			})
		})
		addrs = append(addrs, addr)
		exchangeOnce(t, client, addr)
	}
	require.Equal(t, map[string]bool{addrs[1]: true, addrs[2]: true}, client.outboundAddrs(), "the least recently used session must be closed")

	done := make(chan error, 2)
	for _, addr := range addrs[1:] {
		go func() {
			r := request(nil, 0)
			r.Key = "wait"
			_, err := client.Forward(t.Context(), addr, r)
			done <- err
		}()
		<-started
	}
	_, err := client.Forward(t.Context(), addrs[0], request(nil, 0))
	requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable)
	close(release)
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}

// An idle session must be closed, because it uses memory. A session in use must not.
func TestIdleSessionCloses(t *testing.T) {
	client, _, addr := pair(t, echo)
	exchangeOnce(t, client, addr)
	client.closeIdle(time.Now().Add(client.cfg.IdleTimeout / 2))
	require.Len(t, client.outboundAddrs(), 1)
	resp, err := client.Forward(t.Context(), addr, request(nil, 0))
	require.NoError(t, err)
	client.closeIdle(time.Now().Add(client.cfg.IdleTimeout * 2))
	require.Len(t, client.outboundAddrs(), 1)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	client.closeIdle(time.Now().Add(client.cfg.IdleTimeout * 2))
	require.Empty(t, client.outboundAddrs())
	exchangeOnce(t, client, addr)
}

// A graceful shutdown must let running requests complete. Further requests must fail
// before they are sent, so that they can be retried at another daemon.
func TestDrain(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	client, owner, addr := pair(t, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		close(started)
		<-release
		return echo(ctx, r)
	})
	done := make(chan error, 2)
	go func() {
		resp, err := client.Forward(t.Context(), addr, request(nil, 0))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		done <- err
	}()
	<-started
	go func() { done <- owner.Drain(t.Context()) }()
	for len(client.outboundAddrs()) != 0 { // until the drain signal has arrived
		runtime.Gosched()
	}
	_, err := client.Forward(t.Context(), addr, request(nil, 0))
	requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable)
	close(release)
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}

// A request must not fail because its session is closed as idle at the same moment:
// neither side may close a session on which the other has started an exchange.
func TestCloseRace(t *testing.T) {
	client, owner, addr := pair(t, echo)
	var wg sync.WaitGroup
	// startCloser returns a channel that triggers one call of f. The calls coincide
	// with the start of an exchange; calling f in a tight loop would keep the
	// scheduler from polling the network.
	startCloser := func(f func()) chan<- struct{} {
		c := make(chan struct{}, 1)
		wg.Go(func() {
			for range c {
				f()
			}
		})
		return c
	}
	reap := startCloser(func() { client.closeIdle(time.Now().Add(time.Hour)) })
	drain := startCloser(func() {
		if s := owner.drainInbound(); s != nil {
			s.requestDrain()
		}
	})
	for i := range 600 {
		select {
		case reap <- struct{}{}:
		default:
		}
		if i%2 == 0 {
			select {
			case drain <- struct{}{}:
			default:
			}
		}
		for range i % 7 { // varies the start of the exchange relative to the closing
			runtime.Gosched()
		}
		exchangeOnce(t, client, addr)
	}
	close(reap)
	close(drain)
	wg.Wait()
}
