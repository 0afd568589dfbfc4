package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"pollenlatch"
	"pollenlatch/conf"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// group is a Control on a state of its own that decides at once.
type group struct {
	s       *state.State
	force   atomic.Uint64
	process ProcessStatus
	err     error
	sender  string
	drained int
	origin  Assignment
}

func (g *group) View() View                         { return g.s }
func (g *group) InForce(v pollenlatch.Version) bool { return uint64(v) <= g.force.Load() }
func (g *group) Status() ProcessStatus              { return g.process }
func (g *group) Drain() error                       { g.drained++; return nil }

func (g *group) Assignment(pollenlatch.Owner) (Assignment, bool) {
	return g.origin, !g.origin.AppliedAt.IsZero()
}

func (g *group) Propose(_ context.Context, text, sender string) (pollenlatch.Verdict, error) {
	if g.err != nil {
		return pollenlatch.Verdict{}, g.err
	}
	g.sender = sender
	number, spec, err := ticket.Parse(text)
	if err != nil {
		return pollenlatch.Verdict{}, err
	}
	res := g.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: number, Text: text, Sender: sender, ReceivedAt: 5000, Spec: spec}})
	return *res.Verdict, nil
}

func (g *group) apply(c pollenlatch.Command) state.Result {
	s, res := g.s.Apply(g.s.Version()+1, &c)
	g.s = s
	return res
}

const (
	first  = "number: 1\nservices: [{name: listing, keyed: true, ranges: 4}]\n"
	second = "number: 2\nservices: [{name: listing, keyed: true, ranges: 4, maxrun: 3s}]\n"
)

// client calls a server's handler.
type client struct {
	t     *testing.T
	s     *Server
	token string
	host  string
}

func newClient(t *testing.T, g *group, tokens ...Token) *client {
	t.Helper()
	if g.s == nil {
		g.s = new(state.State)
	}
	s, err := New(Config{Control: g, Tokens: tokens})
	require.NoError(t, err)
	return &client{t: t, s: s, host: "127.0.0.1:7002"}
}

func (c *client) call(method, uri, body string, out any) int {
	c.t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(uri)
	ctx.Request.Header.SetHost(c.host)
	ctx.Request.SetBodyString(body)
	if c.token != "" {
		ctx.Request.Header.Set("Authorization", "Bearer "+c.token)
	}
	c.s.Handle(&ctx)
	if out != nil {
		require.NoError(c.t, json.Unmarshal(ctx.Response.Body(), out), "%s", ctx.Response.Body())
	}
	return ctx.Response.StatusCode()
}

// An operator who is told the wrong thing about a ticket sends another one.
func TestTickets(t *testing.T) {
	g := &group{}
	c := newClient(t, g)
	var d Decision

	require.Equal(t, 200, c.call("POST", "/v1/tickets", first, &d))
	require.True(t, d.Verdict.Accepted)
	require.False(t, d.InForce)
	require.Equal(t, "operator", g.sender)

	t.Run("same ticket again", func(t *testing.T) {
		var again Decision
		g.force.Store(1)
		require.Equal(t, 200, c.call("POST", "/v1/tickets", first, &again))
		require.Equal(t, d.Verdict, again.Verdict)
		require.True(t, again.InForce)
	})
	t.Run("other ticket with the number", func(t *testing.T) {
		var d Decision
		require.Equal(t, 409, c.call("POST", "/v1/tickets", strings.Replace(second, "2", "1", 1), &d))
		require.Contains(t, d.Verdict.Faults[0], `sent by "operator"`)
		require.EqualValues(t, 2, d.Verdict.Next)
	})
	t.Run("gap", func(t *testing.T) {
		require.Equal(t, 409, c.call("POST", "/v1/tickets", strings.Replace(second, "2", "7", 1), &d))
	})
	t.Run("faulty document", func(t *testing.T) {
		var d Decision
		require.Equal(t, 422, c.call("POST", "/v1/tickets", "number: 2\nservice: []\n", &d))
		require.Contains(t, d.Verdict.Faults[0], "line 2: service: unknown field")
		require.EqualValues(t, 2, d.Verdict.Next)
	})
	t.Run("difference", func(t *testing.T) {
		var d TicketDiff
		require.Equal(t, 200, c.call("POST", "/v1/tickets/diff", second, &d))
		require.Equal(t, []ticket.Change{{Path: "services[listing].maxrun", Old: "2s", New: "3s"}}, d.Changes)
		require.Empty(t, d.Faults)
		require.Equal(t, 200, c.call("POST", "/v1/tickets/diff", strings.Replace(second, "ranges: 4", "ranges: 8", 1), &d))
		require.Contains(t, d.Faults[0], "services[0].ranges")
	})
	t.Run("contradiction with the state", func(t *testing.T) {
		var d Decision
		require.Equal(t, 422, c.call("POST", "/v1/tickets", strings.Replace(second, "ranges: 4", "ranges: 8", 1), &d))
		require.Contains(t, d.Verdict.Faults[0], "services[0].ranges")
	})
	t.Run("list and show", func(t *testing.T) {
		var list TicketList
		require.Equal(t, 200, c.call("GET", "/v1/tickets?limit=1", "", &list))
		require.Len(t, list.Tickets, 1)
		require.EqualValues(t, 2, list.Tickets[0].Number)
		require.EqualValues(t, 3, list.NextNumber)
		var r TicketRecord
		require.Equal(t, 200, c.call("GET", "/v1/tickets/1", "", &r))
		require.Equal(t, first, r.Text)
		require.True(t, r.InForce)
		require.Equal(t, 404, c.call("GET", "/v1/tickets/9", "", nil))
		require.Equal(t, 400, c.call("GET", "/v1/tickets/x", "", nil))
	})
	t.Run("no verdict", func(t *testing.T) {
		g.err = errors.New("closed")
		defer func() { g.err = nil }()
		var e Error
		require.Equal(t, 503, c.call("POST", "/v1/tickets", first, &e))
		require.Contains(t, e.Error, "send it again")
	})
	t.Run("bad arguments", func(t *testing.T) {
		require.Equal(t, 400, c.call("POST", "/v1/tickets?wait=long", first, nil))
		require.Equal(t, 400, c.call("POST", "/v1/tickets?timeout=5", first, nil))
		require.Equal(t, 400, c.call("GET", "/v1/tickets?limit=x", "", nil))
		require.Equal(t, 405, c.call("PUT", "/v1/tickets", "", nil))
		require.Equal(t, 404, c.call("GET", "/v1/ticket", "", nil))
	})
}

// An answer "in force" that comes too early lets an operator rely on a
// configuration that some instance does not have yet.
func TestWaitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &group{}
		c := newClient(t, g)
		begin := time.Now()
		time.AfterFunc(2500*time.Millisecond, func() { g.force.Store(1) })
		var d Decision
		require.Equal(t, 200, c.call("POST", "/v1/tickets?wait=in-force", first, &d))
		require.True(t, d.InForce)
		require.GreaterOrEqual(t, time.Since(begin), 2500*time.Millisecond)

		begin = time.Now()
		require.Equal(t, 202, c.call("POST", "/v1/tickets?wait=in-force&timeout=3s", second, &d))
		require.False(t, d.InForce)
		require.Equal(t, 3*time.Second, time.Since(begin))
	})
}

func secret(s string) []byte { return []byte(s + strings.Repeat("-", conf.MinToken)) }

// A token that allows more than its scope lets a monitoring system change the
// configuration.
func TestScopes(t *testing.T) {
	g := &group{}
	c := newClient(
		t, g,
		Token{Name: "mon", Secret: secret("r"), Scope: conf.Read},
		Token{Name: "desk", Secret: secret("t"), Scope: conf.Tickets, Services: []string{"listing"}},
		Token{Name: "office", Secret: secret("e"), Scope: conf.Everything},
	)
	other := strings.ReplaceAll(second, "listing", "claims")
	callers := "number: 2\ncallers: [{name: c}]\n"
	remove := "number: 2\nremove: [claims]\n"
	for _, u := range []struct {
		name, token, method, path, body string
		want                            int
	}{
		{"no token", "", "GET", "/v1/status", "", 401},
		{"wrong token", "x", "GET", "/v1/status", "", 401},
		{"prefix of a token", string(secret("e")[:10]), "GET", "/v1/status", "", 401},
		{"health needs none", "", "GET", "/healthz", "", 200},
		{"read", string(secret("r")), "GET", "/v1/status", "", 200},
		{"metrics", string(secret("r")), "GET", "/metrics", "", 200},
		{"metrics without token", "", "GET", "/metrics", "", 401},
		{"read may not apply", string(secret("r")), "POST", "/v1/tickets", first, 403},
		{"read may not drain", string(secret("r")), "POST", "/v1/drain", "", 403},
		{"tickets of its service", string(secret("t")), "POST", "/v1/tickets", first, 200},
		{"tickets of another service", string(secret("t")), "POST", "/v1/tickets", other, 403},
		{"tickets of callers", string(secret("t")), "POST", "/v1/tickets", callers, 403},
		{"tickets that remove", string(secret("t")), "POST", "/v1/tickets", remove, 403},
		{"tickets may read", string(secret("t")), "GET", "/v1/tickets", "", 200},
		{"tickets may not drain", string(secret("t")), "POST", "/v1/drain", "", 403},
		{"everything", string(secret("e")), "POST", "/v1/tickets", callers, 200},
		{"drain", string(secret("e")), "POST", "/v1/drain", "", 202},
	} {
		t.Run(u.name, func(t *testing.T) {
			c.token = u.token
			require.Equal(t, u.want, c.call(u.method, u.path, u.body, nil))
		})
	}
	require.Equal(t, 1, g.drained)
	require.Equal(t, "office", g.sender)
	_, err := New(Config{Control: g, Tokens: []Token{{Name: "weak", Secret: []byte("short")}}})
	require.ErrorIs(t, err, ErrConfig)
}

// Without tokens anyone who reaches the API may change everything.
func TestWithoutTokensOnlyLoopback(t *testing.T) {
	c := newClient(t, &group{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	outside := &listener{Listener: l, addr: &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1}}
	require.ErrorIs(t, c.s.Serve(outside), ErrExposed)
	require.NoError(t, l.Close())
	<-c.s.Done()

	c.host = "pollen.example:7002"
	require.Equal(t, 403, c.call("GET", "/v1/status", "", nil), "a web page under another name")
	c.host = "localhost:7002"
	require.Equal(t, 200, c.call("GET", "/v1/status", "", nil))
}

type listener struct {
	net.Listener
	addr net.Addr
}

func (l *listener) Addr() net.Addr { return l.addr }

// A server on a real listener: limits and shutdown are fasthttp's, so they are
// tried once through it.
func TestServe(t *testing.T) {
	g := &group{s: new(state.State)}
	s, err := New(Config{Control: g})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	status, body, err := fasthttp.Post(nil, "http://"+l.Addr().String()+"/v1/tickets", nil)
	require.NoError(t, err)
	require.Equal(t, 422, status, "%s", body)
	var c fasthttp.Client
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + l.Addr().String() + "/v1/tickets")
	req.Header.SetMethod("POST")
	req.SetBodyString(strings.Repeat("x", state.MaxTicketBytes+1))
	require.NoError(t, c.Do(req, resp))
	require.Equal(t, 413, resp.StatusCode())
	require.NoError(t, s.Shutdown(t.Context()))
	require.NoError(t, <-failed)
	<-s.Done()
}

// Operators find the owner of a key, and why, from these answers alone.
func TestOwnerAndStatus(t *testing.T) {
	g := &group{process: ProcessStatus{Name: "a", Serving: true}}
	c := newClient(t, g)
	c.call("POST", "/v1/tickets", first, nil)
	join := g.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "a", Incarnation: 1}})
	g.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: 1, Lease: join.Lease, Endpoint: pollenlatch.Endpoint{Service: "listing", Ready: true}}})
	r := pollenlatch.RangeOf("listing", "lot 1", 2)
	ask := func() (o KeyOwner) {
		require.Equal(t, 200, c.call("GET", "/v1/owner?service=listing&key=lot%201", "", &o))
		return o
	}
	require.Equal(t, "no instance has owned it yet", ask().Reason)
	g.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: pollenlatch.Shard{Service: "listing", Range: r}, To: 1}}}})
	g.origin = Assignment{AppliedAt: time.UnixMilli(9000), Reason: "balance"}
	o := ask()
	require.Equal(t, "a", o.Instance.Name)
	require.Equal(t, "assigned by log entry 4: balance", o.Reason)
	require.Equal(t, time.UnixMilli(9000).UTC(), o.Since.UTC())

	var st Status
	require.Equal(t, 200, c.call("GET", "/v1/status?instances=1", "", &st))
	require.Equal(t, ServiceStatus{Name: "listing", Keyed: true, Ranges: 4, Unowned: 3, Endpoints: 1, Usable: 1}, st.Services[0])
	require.Equal(t, 1, st.Alive)
	require.Len(t, st.Instances, 1)
	require.Equal(t, 200, c.call("GET", "/readyz", "", nil))

	g.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: 1, Lease: join.Lease}})
	require.Equal(t, "no owner since the lease of a ended", ask().Reason)
	require.Equal(t, 404, c.call("GET", "/v1/owner?service=x&key=y", "", nil))
	require.Equal(t, 400, c.call("GET", "/v1/owner?service=x", "", nil))
	g.process.Serving = false
	require.Equal(t, 503, c.call("GET", "/readyz", "", nil))
}
