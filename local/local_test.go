package local_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"pollenlatch"
	"pollenlatch/local"
	"pollenlatch/sample"
)

// facts records what the daemon was told.
type facts struct {
	mu  sync.Mutex
	log []string
}

func (f *facts) add(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, s)
}

func (f *facts) told() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.log)
}

func (f *facts) Announce(e pollenlatch.Endpoint) {
	s := "announced"
	if e.Ready {
		s = "ready"
	}
	if e.Draining {
		s = "draining"
	}
	f.add(s)
}

func (f *facts) Lost() { f.add("lost") }

// pair is a daemon's interface with a sample server beside it, connected in
// memory so that it works inside a synctest bubble.
type pair struct {
	facts  *facts
	local  *local.Monitor
	server *sample.Server
	client *http.Client // of the server
	down   bool         // connections to the server are refused
}

func newPair(t *testing.T, cfg sample.Config) *pair {
	t.Helper()
	toServer, toDaemon := fasthttputil.NewInmemoryListener(), fasthttputil.NewInmemoryListener()
	p := &pair{facts: &facts{}}
	p.local = local.New(local.Config{Observer: p.facts, Service: "listing", Dial: func(string) (net.Conn, error) {
		if p.down {
			return nil, syscall.ECONNREFUSED
		}
		return toServer.Dial()
	}})
	p.client = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return toDaemon.Dial() },
	}}
	cfg.Endpoint.Service, cfg.Endpoint.Addr, cfg.Endpoint.Incarnation = "listing", "server:80", 7
	cfg.Daemon, cfg.Client = "daemon:80", p.client
	var err error
	p.server, err = sample.New(cfg)
	require.NoError(t, err)
	go func() { _ = p.local.Serve(toDaemon) }()
	go func() { _ = p.server.Serve(toServer) }()
	t.Cleanup(func() {
		require.NoError(t, p.server.Close())
		<-p.server.Done()
		p.client.CloseIdleConnections()
		require.NoError(t, p.local.Close())
		<-p.local.Done()
		settle(time.Minute) // the library's cleaning goroutines end
	})
	settle(50 * time.Millisecond)
	return p
}

func settle(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (p *pair) post(t *testing.T, path string, v any) int {
	t.Helper()
	b, err := json.Marshal(v)
	require.NoError(t, err)
	resp, err := p.client.Post("http://daemon"+path, "application/json", bytes.NewReader(b))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// A daemon that believes the server's word alone sends work to a frozen one.
func TestProbesOutrankAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, sample.Config{})
		require.Equal(t, []string{"ready"}, p.facts.told())
		p.server.Freeze()
		settle(time.Second)
		require.Equal(t, []string{"ready", "lost"}, p.facts.told())

		e := p.server.Endpoint()
		require.Equal(t, http.StatusOK, p.post(t, local.PathAnnounce, e))
		settle(time.Second)
		e, ok := p.local.Endpoint()
		require.True(t, ok)
		require.False(t, e.Ready)
		require.Len(t, p.facts.told(), 2)

		p.server.Thaw()
		settle(time.Second)
		require.Equal(t, []string{"ready", "lost", "ready"}, p.facts.told())
	})
}

// Waiting for more probes after a refused connection would lengthen the time
// without service.
func TestRefusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, sample.Config{})
		p.down = true
		require.NoError(t, p.server.Close())
		<-p.server.Done()
		p.local.Probe()
		settle(time.Millisecond)
		require.Equal(t, []string{"ready", "lost"}, p.facts.told())
	})
}

// An old process that was frozen must not come back after a new one has
// announced itself.
func TestReplacedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, sample.Config{})
		old := p.server.Endpoint()
		newer := old
		newer.Incarnation = 8
		require.Equal(t, http.StatusOK, p.post(t, local.PathAnnounce, newer))
		require.Equal(t, []string{"ready", "lost"}, p.facts.told())
		require.Equal(t, http.StatusConflict, p.post(t, local.PathAnnounce, old))
		require.Equal(t, http.StatusConflict, p.post(t, local.PathReady, local.Ready{Incarnation: 7, Ready: true}))
		settle(time.Second)
		require.Len(t, p.facts.told(), 2) // the process that answers is not the announced one
	})
}

// A leaving or unready server that is not reported would get new work.
func TestReadyAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, sample.Config{Cold: 2 * time.Second})
		require.Equal(t, []string{"announced"}, p.facts.told())
		settle(2300 * time.Millisecond)
		require.Equal(t, []string{"announced", "ready"}, p.facts.told())
		require.Equal(t, http.StatusOK, p.post(t, local.PathLoad, local.LoadReport{Incarnation: 7, Running: 3}))
		r, _ := p.local.Report()
		require.EqualValues(t, 3, r.Running)
		go func() { _ = p.server.Drain(context.Background(), time.Second) }()
		settle(100 * time.Millisecond)
		require.Equal(t, []string{"announced", "ready", "draining"}, p.facts.told())
	})
}

// A malformed message that is accepted would become wrong replicated facts.
func TestRefusedMessages(t *testing.T) {
	good := pollenlatch.Endpoint{Service: "listing", Addr: "127.0.0.1:1", Incarnation: 7, Slots: 1, MaxConns: 1}
	for name, change := range map[string]func(*pollenlatch.Endpoint){
		"service":     func(e *pollenlatch.Endpoint) { e.Service = "" },
		"addr":        func(e *pollenlatch.Endpoint) { e.Addr = "127.0.0.1" },
		"incarnation": func(e *pollenlatch.Endpoint) { e.Incarnation = local.MaxIncarnation + 1 },
		"slots":       func(e *pollenlatch.Endpoint) { e.Slots = 0 },
		"conns":       func(e *pollenlatch.Endpoint) { e.MaxConns = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			e := good
			change(&e)
			require.Error(t, local.CheckEndpoint(e))
		})
	}
	require.NoError(t, local.CheckEndpoint(good))
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, sample.Config{})
		require.Equal(t, http.StatusBadRequest, p.post(t, local.PathAnnounce, "x"))
		require.Equal(t, http.StatusNotFound, p.post(t, "/v1/other", good))
		other := good
		other.Service = "claims"
		require.Equal(t, http.StatusConflict, p.post(t, local.PathAnnounce, other))
	})
}

// A grant that outlives its ttl, or a set that is not replaced, lets two
// servers run requests of one key.
func TestGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, sample.Config{Endpoint: pollenlatch.Endpoint{Fenced: true}})
		shard := pollenlatch.Shard{Service: "listing", Range: 3}
		ctx := t.Context()
		run := func() bool { return p.server.Check(shard, 20) == nil }
		require.NoError(t, p.local.Grant(ctx, []pollenlatch.Grant{{Shard: shard, Fence: 20}}, 600*time.Millisecond))
		require.True(t, run())
		settle(500 * time.Millisecond)
		require.NoError(t, p.local.Extend(ctx, 600*time.Millisecond))
		settle(500 * time.Millisecond)
		require.True(t, run())
		settle(101 * time.Millisecond)
		require.False(t, run())
	})
}

// A server that missed a change, or that holds the set of an earlier daemon,
// must get the newest set.
func TestGrantsCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, sample.Config{Endpoint: pollenlatch.Endpoint{Fenced: true}})
		ctx := t.Context()
		kept, dropped := pollenlatch.Shard{Service: "listing", Range: 3}, pollenlatch.Shard{Service: "listing", Range: 4}
		both := []pollenlatch.Grant{{Shard: kept, Fence: 20}, {Shard: dropped, Fence: 20}}
		require.NoError(t, p.local.Grant(ctx, both, 600*time.Millisecond))
		p.server.Freeze()
		require.Error(t, p.local.Grant(ctx, both[:1], 600*time.Millisecond))
		p.server.Thaw()
		settle(time.Second)
		require.NoError(t, p.local.Extend(ctx, 600*time.Millisecond))
		require.NoError(t, p.server.Check(kept, 20))
		require.Error(t, p.server.Check(dropped, 20))

		g := local.Grants{Incarnation: 7, Seq: 1 << 60, TTLMillis: 600, ExpiryUnixMilli: time.Now().Add(time.Second).UnixMilli()}
		require.NoError(t, p.server.Grant(g))
		require.Error(t, p.server.Check(kept, 20))
		require.NoError(t, p.local.Extend(ctx, 600*time.Millisecond))
		require.NoError(t, p.server.Check(kept, 20))
	})
}

// A shard that does not survive its header would be checked as another one.
func TestRangeHeader(t *testing.T) {
	for _, s := range []pollenlatch.Shard{
		{Service: "listing"},
		{Service: "listing", Range: 1 << 19},
		{Service: "listing", Range: 3, Key: "a;key=%\n"},
	} {
		got, err := local.ParseRange("listing", local.FormatRange(s))
		require.NoError(t, err)
		require.Equal(t, s, got)
	}
	for _, v := range []string{"", "x", "-1", "1;key=", "1;key=%", "4294967296"} {
		_, err := local.ParseRange("listing", v)
		require.ErrorIs(t, err, local.ErrInvalidRange, v)
	}
}
