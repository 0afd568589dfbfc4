package sample

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"pollenlatch"
	"pollenlatch/local"
)

const testIncarnation = 7

// startServer runs a server on in-memory connections, which work inside a synctest
// bubble. It returns a client of the server.
func startServer(t *testing.T, cfg Config) (*Server, *http.Client) {
	t.Helper()
	cfg.Endpoint.Service = "listing"
	cfg.Endpoint.Incarnation = testIncarnation
	s, err := New(cfg)
	require.NoError(t, err)
	ln := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(ln) }()
	synctest.Wait()
	c := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return ln.Dial() },
	}}
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		<-s.Done()
	})
	return s, c
}

type response struct {
	StatusCode int
	Header     http.Header
}

// send sends a request with a JSON body, and with header as pairs of name and value.
func send(t *testing.T, c *http.Client, method, path, id string, body any, header ...string) response {
	t.Helper()
	b, err := json.Marshal(body)
	require.NoError(t, err)
	r, err := http.NewRequestWithContext(t.Context(), method, "http://server"+path, bytes.NewReader(b))
	require.NoError(t, err)
	r.Header.Set(HeaderRequestID, id)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(r)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return response{resp.StatusCode, resp.Header}
}

// newGrants returns a message that grants range 3 with fence f.
func newGrants(seq uint64, ttl time.Duration, f pollenlatch.Fence) local.Grants {
	return local.Grants{
		Incarnation:     testIncarnation,
		Seq:             seq,
		TTLMillis:       ttl.Milliseconds(),
		ExpiryUnixMilli: time.Now().Add(ttl).UnixMilli(),
		Grants:          []pollenlatch.Grant{{Shard: pollenlatch.Shard{Service: "listing", Range: 3}, Fence: f}},
	}
}

// If a server runs a request without a valid grant, two owners may run requests of
// the same key at the same time.
func TestFenceCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		shard  string
		fence  string
		wait   time.Duration
		fenced bool
		status int
	}{
		{"granted", "3", "20", 0, true, http.StatusOK},
		{"not granted", "4", "20", 0, true, http.StatusConflict},
		{"hot key of the range", "3;key=a", "20", 0, true, http.StatusConflict},
		{"fence above the grant", "3", "21", 0, true, http.StatusConflict},
		{"fence below the grant", "3", "19", 0, true, http.StatusConflict},
		{"expired grant", "3", "20", 601 * time.Millisecond, true, http.StatusConflict},
		{"fences not checked", "4", "20", 0, false, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, client := startServer(t, Config{Endpoint: pollenlatch.Endpoint{Fenced: c.fenced}})
				resp := send(t, client, http.MethodPut, local.PathGrants, "", newGrants(1, 600*time.Millisecond, 20))
				require.Equal(t, http.StatusOK, resp.StatusCode)
				<-time.After(c.wait)
				resp = send(t, client, http.MethodPost, "/a", "r1", nil, local.HeaderFence, c.fence, local.HeaderRange, c.shard)
				require.Equal(t, c.status, resp.StatusCode)
				if c.status == http.StatusOK {
					require.Equal(t, 1, s.Ledger().Count("r1"))
					return
				}
				require.Equal(t, outcomeNotRun, resp.Header.Get(local.HeaderOutcome))
				require.Zero(t, s.Ledger().Count("r1"))
			})
		})
	}
}

// A message about grants that arrives late or out of order must not restore or
// extend a grant.
func TestStaleGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := startServer(t, Config{Endpoint: pollenlatch.Endpoint{Fenced: true}})
		put := func(g local.Grants) int {
			return send(t, client, http.MethodPut, local.PathGrants, "", g).StatusCode
		}
		stale := newGrants(1, 600*time.Millisecond, 20)
		require.Equal(t, http.StatusOK, put(newGrants(2, 600*time.Millisecond, 21)))
		require.Equal(t, http.StatusConflict, put(stale))
		expired := newGrants(3, 600*time.Millisecond, 22)
		<-time.After(600 * time.Millisecond)
		require.Equal(t, http.StatusGone, put(expired))
	})
}

// A server that resumes after a freeze must not run requests that waited in its
// socket buffer beyond their deadline.
func TestFrozenServer(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(strconv.FormatBool(fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, client := startServer(t, Config{Endpoint: pollenlatch.Endpoint{Fenced: fenced}})
				send(t, client, http.MethodPut, local.PathGrants, "", newGrants(1, 600*time.Millisecond, 20))
				s.Freeze()
				deadline := time.Now().Add(2 * time.Second)
				status := make(chan int)
				go func() {
					resp := send(t, client, http.MethodPost, "/a", "r1", nil, local.HeaderFence, "20", local.HeaderRange, "3",
						local.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
					status <- resp.StatusCode
				}()
				<-time.After(3 * time.Second)
				s.Thaw()
				require.Equal(t, http.StatusGatewayTimeout, <-status)
				require.Zero(t, s.Ledger().Count("r1"))
			})
		})
	}
}

// Tests rely on the ledger to find requests that ran twice, so it must count every
// run, including cancelled ones.
func TestRunsAndFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, client := startServer(t, Config{Endpoint: pollenlatch.Endpoint{Slots: 1}, ServiceTime: time.Second, ColdStart: time.Second})
		require.Equal(t, http.StatusServiceUnavailable, send(t, client, http.MethodPost, "/a", "r1", nil).StatusCode)
		<-time.After(time.Second)
		require.Equal(t, "1", send(t, client, http.MethodPost, "/a", "r1", nil).Header.Get(HeaderRuns))
		require.Equal(t, "2", send(t, client, http.MethodPost, "/a", "r1", nil).Header.Get(HeaderRuns))
		require.Equal(t, map[string]int{"r1": 2}, s.Ledger().Duplicates())

		s.SetFault(Fault{Status: http.StatusTeapot, EveryNth: 2})
		require.Equal(t, http.StatusOK, send(t, client, http.MethodPost, "/a", "r2", nil).StatusCode)
		require.Equal(t, http.StatusTeapot, send(t, client, http.MethodPost, "/a", "r3", nil).StatusCode)

		s.SetFault(Fault{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://server/a", nil)
			_, err := client.Do(r) //nolint:bodyclose // there is no response
			require.ErrorIs(t, err, context.Canceled)
		}()
		<-time.After(500 * time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, send(t, client, http.MethodPost, "/a", "r4", nil).StatusCode)
		cancel()
		synctest.Wait()
		require.EqualValues(t, 1, s.Stats().Cancelled)
		require.Zero(t, s.Stats().Running)
	})
}

// A run that takes effect after the end of its grant conflicts with runs of the next
// owner. A newer fence of the same owner must not stop it.
func TestGrantAfterRun(t *testing.T) {
	now := time.Now()
	shard := pollenlatch.Shard{Service: "listing", Range: 3}
	hot := pollenlatch.Shard{Service: "listing", Range: 3, Key: "lot-1"}
	for _, c := range []struct {
		name    string
		granted map[pollenlatch.Shard]pollenlatch.Fence
		shard   pollenlatch.Shard
		after   time.Duration
		valid   bool
		moved   bool
	}{
		{"same fence", map[pollenlatch.Shard]pollenlatch.Fence{shard: 5}, shard, 0, true, false},
		{"newer fence of the same owner", map[pollenlatch.Shard]pollenlatch.Fence{shard: 9}, shard, 0, true, false},
		{"hot key merged into its range", map[pollenlatch.Shard]pollenlatch.Fence{shard: 9}, hot, 0, true, false},
		{"moved to another owner", nil, shard, 0, false, true},
		{"expired", map[pollenlatch.Shard]pollenlatch.Fence{shard: 5}, shard, time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := grantTable{fences: c.granted, expiresAt: now.Add(time.Second)}
			valid, moved := table.confirm(c.shard, 5, now.Add(c.after))
			require.Equal(t, []bool{c.valid, c.moved}, []bool{valid, moved})
		})
	}
}
