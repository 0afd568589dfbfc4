package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/ctrl"
)

// testTimeout ends a test that hangs. No check depends on it.
const testTimeout = time.Minute

func boardConfig() Config {
	var cfg Config
	for i, dc := range []string{"howrah", "hooghly", "nadia", "bardhaman"} {
		cfg.Instances = append(cfg.Instances, Instance{
			Name: fmt.Sprintf("listing-%d", i+1), DC: dc, Voter: i < 3,
			Endpoint: pollenlatch.Endpoint{Service: "listing", Slots: 10, MaxConns: 100, Fenced: true, Ready: true},
		})
	}
	return cfg
}

const listingTicket = `number: 1
services:
  - name: listing
    keyed: true
    ranges: 16
    maxrun: 2s
`

// Guards against requests that wait for an owner when an instance that leaves the group
// reaches its drain timeout: their connections were closed without a response.
func TestLeavingInstanceAnswersWaitingRequests(t *testing.T) {
	const drainTimeout = 2 * time.Second
	cfg := boardConfig()
	cfg.Dir, cfg.DrainTimeout = t.TempDir(), drainTimeout
	f, err := Start(cfg)
	require.NoError(t, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, f.WaitReady(ctx))
	v, err := f.Submit(ctx, pollenlatch.Ticket{Number: 1, Text: listingTicket + "  - name: vacant\n    keyed: true\n    ranges: 16\n", Sender: "test"})
	require.NoError(t, err)
	require.True(t, v.Accepted, "%v", v.Faults)
	const leaving = "listing-4"
	require.NoError(t, f.Wait(ctx, func(a *ctrl.Access) bool {
		_, ok := a.View.Service("vacant")
		return ok
	}))
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Node(leaving).Addrs.Front+"/s/vacant/lot-1/claim", http.NoBody)
			assert.NoError(t, err)
			req.Header.Set("Pollen-Timeout", "20000")
			resp, err := http.DefaultClient.Do(req)
			if !assert.NoError(t, err, "the connection was closed without a response") {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			assert.Equal(t, "not-run", resp.Header.Get("Pollen-Outcome"))
		})
	}
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	require.NoError(t, f.Shutdown(ctx, leaving))
	require.Less(t, time.Since(start), drainTimeout+time.Second)
	wg.Wait()
}

// Requests for one key that arrive at different instances must all be served by
// the owner of the key. The daemons and servers are real and use loopback
// connections.
func TestRequestsReachOneOwner(t *testing.T) {
	cfg := boardConfig()
	cfg.Dir = t.TempDir()
	f, err := Start(cfg)
	require.NoError(t, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	v, err := f.Submit(ctx, pollenlatch.Ticket{Number: 1, Text: listingTicket, Sender: "test"})
	require.NoError(t, err)
	require.True(t, v.Accepted, "%v", v.Faults)
	require.NoError(t, f.Wait(ctx, func(a *ctrl.Access) bool {
		o, ok := a.View.Owner("listing", "lot-1")
		return ok && o.Instance != 0
	}))
	owners := make(pollenlatch.Set[string])
	for _, name := range f.Names() {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Node(name).Addrs.Front+"/s/listing/lot-1/view", http.NoBody)
			require.NoError(t, err)
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			require.Equal(t, http.StatusOK, resp.StatusCode)
			owners = owners.With(resp.Header.Get("Pollen-Owner"))
		})
	}
	require.Len(t, owners, 1, "requests for one key were served by several owners")
	require.Empty(t, f.Ledger().Duplicates())
}
