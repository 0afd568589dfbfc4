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
	w, err := n.Forward(t.Context(), addr, request(nil, 0))
	require.NoError(t, err)
	_, err = io.ReadAll(w.Body)
	require.NoError(t, err)
}

func (n *Node) dialled() map[string]bool {
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	m := make(map[string]bool)
	for addr := range n.pool.sessions {
		m[addr] = true
	}
	return m
}

// Sessions without a cap exhaust the memory of a daemon that talks to all others.
func TestSessionCap(t *testing.T) {
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
	require.Equal(t, map[string]bool{addrs[1]: true, addrs[2]: true}, client.dialled(), "the least recently used one is closed")

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

// A session that nothing uses costs memory; one that is in use must stay.
func TestIdleSessionCloses(t *testing.T) {
	client, _, addr := pair(t, echo)
	exchangeOnce(t, client, addr)
	client.reap(time.Now().Add(client.cfg.IdleTimeout / 2))
	require.Len(t, client.dialled(), 1)
	w, err := client.Forward(t.Context(), addr, request(nil, 0))
	require.NoError(t, err)
	client.reap(time.Now().Add(client.cfg.IdleTimeout * 2))
	require.Len(t, client.dialled(), 1)
	_, err = io.ReadAll(w.Body)
	require.NoError(t, err)
	client.reap(time.Now().Add(client.cfg.IdleTimeout * 2))
	require.Empty(t, client.dialled())
	exchangeOnce(t, client, addr)
}

// A graceful stop must let running requests end and turn the next ones away
// before they are sent, so that they can be repeated elsewhere.
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
		w, err := client.Forward(t.Context(), addr, request(nil, 0))
		if err == nil {
			_, err = io.ReadAll(w.Body)
		}
		done <- err
	}()
	<-started
	go func() { done <- owner.Drain(t.Context()) }()
	for len(client.dialled()) != 0 { // until the signal has arrived
		runtime.Gosched()
	}
	_, err := client.Forward(t.Context(), addr, request(nil, 0))
	requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable)
	close(release)
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}

// Requests that meet the closing of an idle session must not fail: neither
// side may close it under an exchange that the other has begun.
func TestCloseRace(t *testing.T) {
	client, owner, addr := pair(t, echo)
	var wg sync.WaitGroup
	// Each is let go once for each exchange, at the moment when that begins: a
	// loop without a pause would keep the scheduler from the network.
	closer := func(f func()) chan<- struct{} {
		c := make(chan struct{}, 1)
		wg.Go(func() {
			for range c {
				f()
			}
		})
		return c
	}
	reap := closer(func() { client.reap(time.Now().Add(time.Hour)) })
	drain := closer(func() {
		if s := owner.anyAccepted(); s != nil {
			s.askDrain()
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
		for range i % 7 { // moves the exchange against the closing
			runtime.Gosched()
		}
		exchangeOnce(t, client, addr)
	}
	close(reap)
	close(drain)
	wg.Wait()
}
