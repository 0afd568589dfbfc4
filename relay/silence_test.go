package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/gauge"
)

// loadedResponse is a response with the load of the server.
func loadedResponse(id, load string) string {
	return strings.Replace(validResponse(id, "hello"), "Proof", "Load: "+load+"\r\nProof", 1)
}

const silentRun = 100 * time.Millisecond // typical run time

// newGaugedRelay returns a relay to a server that states its load.
func (f *fakeServer) newGaugedRelay(t *testing.T) (*Relay, *gauge.Gauge) {
	t.Helper()
	g := new(gauge.Gauge)
	relay := f.newPlatformRelay(t)
	relay.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 8, ID: "s1"})
	relay.cfg.MaxRun = nil
	relay.cfg.Gauge = g
	relay.cfg.ExpectedRun = func(*pollenlatch.Request) time.Duration { return silentRun }
	relay.cfg.Observe = func(s pollenlatch.ServerSignals) {
		if s.Load != nil {
			g.Observe(*s.Load, time.Now())
		}
	}
	return relay, g
}

// exchangeOne runs one exchange with a deadline of 1.9 s.
func exchangeOne(relay *Relay, repeatable bool) error {
	r := platformRequest()
	r.Idempotent, r.Deadline = repeatable, time.Now().Add(1900*time.Millisecond)
	_, err := doExchange(relay, r)
	return err
}

// A request that a full server has dropped without a response must end as soon as the
// loads that the server states show that, with an unknown outcome, since it may have run.
// One that the server still holds must get its late response.
func TestDroppedRequest(t *testing.T) {
	for name, dropped := range map[string]bool{"dropped": true, "held": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var load atomic.Value
				load.Store("1,0,9")
				f := &fakeServer{handle: func(c net.Conn, r *http.Request) {
					if r.URL.Path == "/lost" && dropped {
						readUntilClosed(c, r)
						return
					}
					run := silentRun
					if r.URL.Path == "/lost" {
						run = 15 * silentRun
					}
					<-time.After(run)
					_, _ = io.WriteString(c, loadedResponse("i1", load.Load().(string)))
				}}
				relay, g := f.newGaugedRelay(t)
				for range 3 {
					require.NoError(t, exchangeOne(relay, false))
				}
				if !dropped {
					load.Store("2,0,9")
				}
				var others sync.WaitGroup
				others.Go(func() {
					for range 18 {
						_ = exchangeOne(relay, false)
					}
				})
				start := time.Now()
				r := platformRequest()
				r.URI, r.Deadline = "/lost", start.Add(1900*time.Millisecond)
				_, err := doExchange(relay, r)
				took := time.Since(start)
				others.Wait()
				if !dropped {
					require.NoError(t, err)
					require.Zero(t, g.Silent())
					return
				}
				requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 504)
				require.Less(t, took, time.Second)
				require.Equal(t, 1, g.Silent())
				require.Zero(t, g.Others(time.Now()), "the server does not hold it")
				relay.pool.mu.Lock()
				defer relay.pool.mu.Unlock()
				require.Zero(t, relay.pool.inUse)
				require.Len(t, relay.pool.idle, 1, "its connection is not used again")
			})
		})
	}
}

// Guards against a server that answers nothing any more on the connections that it has
// been used on: each idle one would cost a request until its deadline.
func TestSilentConnections(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "not repeatable": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				old, silent := make(map[net.Conn]bool), false
				f := &fakeServer{handle: func(c net.Conn, r *http.Request) {
					mu.Lock()
					old[c] = old[c] || !silent
					answer := !silent || !old[c]
					mu.Unlock()
					if !answer {
						readUntilClosed(c, r)
						return
					}
					<-time.After(silentRun)
					_, _ = io.WriteString(c, loadedResponse("i1", "4,0,9"))
				}}
				relay, _ := f.newGaugedRelay(t)
				var all sync.WaitGroup
				for range 4 {
					all.Go(func() { _ = exchangeOne(relay, repeatable) })
				}
				all.Wait()
				require.EqualValues(t, 4, f.opened.Load())
				mu.Lock()
				silent = true
				mu.Unlock()
				start := time.Now()
				err := exchangeOne(relay, repeatable)
				if repeatable {
					requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 504)
					require.LessOrEqual(t, time.Since(start), 1100*time.Millisecond, "another server may run it")
				} else {
					requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, 504)
				}
				require.NoError(t, exchangeOne(relay, repeatable))
				require.EqualValues(t, 5, f.opened.Load())
			})
		})
	}
}
