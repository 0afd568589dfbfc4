package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/ctrl"
)

// testLimit ends a test that hangs; no check depends on it.
const testLimit = time.Minute

func board() Config {
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

// The whole path: real processes' parts on loopback, a request that enters at
// an instance that does not own its key, and the owner's whole answer.
func TestRequestReachesItsOwner(t *testing.T) {
	cfg := board()
	cfg.Dir = t.TempDir()
	f, err := Start(cfg)
	require.NoError(t, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
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
			w, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer func() { _ = w.Body.Close() }()
			require.Equal(t, http.StatusOK, w.StatusCode)
			owners = owners.With(w.Header.Get("Pollen-Owner"))
		})
	}
	require.Len(t, owners, 1, "one key was served by several owners")
	require.Empty(t, f.Ledger().Doubled())
}
