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

// fakeControl is a Control that decides on tickets at once, on a state of its own.
type fakeControl struct {
	state      *state.State
	inForce    atomic.Uint64
	status     ProcessStatus
	proposeErr error
	sender     string
	drainCalls int
	assignment Assignment
}

func (f *fakeControl) View() View                         { return f.state }
func (f *fakeControl) InForce(v pollenlatch.Version) bool { return uint64(v) <= f.inForce.Load() }
func (f *fakeControl) Status() ProcessStatus              { return f.status }
func (f *fakeControl) Drain() error                       { f.drainCalls++; return nil }

func (f *fakeControl) Assignment(pollenlatch.Owner) (Assignment, bool) {
	return f.assignment, !f.assignment.AppliedAt.IsZero()
}

func (f *fakeControl) Propose(_ context.Context, text, sender string) (pollenlatch.Verdict, error) {
	if f.proposeErr != nil {
		return pollenlatch.Verdict{}, f.proposeErr
	}
	f.sender = sender
	number, spec, err := ticket.Parse(text)
	if err != nil {
		return pollenlatch.Verdict{}, err
	}
	res := f.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: number, Text: text, Sender: sender, ReceivedAt: 5000, Spec: spec}})
	return *res.Verdict, nil
}

func (f *fakeControl) apply(c pollenlatch.Command) state.Result {
	s, res := f.state.Apply(f.state.Version()+1, &c)
	f.state = s
	return res
}

const (
	firstTicket  = "number: 1\nservices: [{name: listing, keyed: true, ranges: 4}]\n"
	secondTicket = "number: 2\nservices: [{name: listing, keyed: true, ranges: 4, maxrun: 3s}]\n"
)

// testClient calls the handler of a server directly.
type testClient struct {
	t      *testing.T
	server *Server
	token  string
	host   string
}

func newTestClient(t *testing.T, control *fakeControl, tokens ...Token) *testClient {
	t.Helper()
	if control.state == nil {
		control.state = new(state.State)
	}
	s, err := New(Config{Control: control, Tokens: tokens})
	require.NoError(t, err)
	return &testClient{t: t, server: s, host: "127.0.0.1:7002"}
}

func (c *testClient) call(method, uri, body string, out any) int {
	c.t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(uri)
	ctx.Request.Header.SetHost(c.host)
	ctx.Request.SetBodyString(body)
	if c.token != "" {
		ctx.Request.Header.Set("Authorization", "Bearer "+c.token)
	}
	c.server.Handle(&ctx)
	if out != nil {
		require.NoError(c.t, json.Unmarshal(ctx.Response.Body(), out), "%s", ctx.Response.Body())
	}
	return ctx.Response.StatusCode()
}

// Responses about tickets must be right: an operator who is misinformed about a
// ticket sends a further one.
func TestTickets(t *testing.T) {
	control := &fakeControl{}
	c := newTestClient(t, control)
	var d Decision

	require.Equal(t, 200, c.call("POST", "/v1/tickets", firstTicket, &d))
	require.True(t, d.Verdict.Accepted)
	require.False(t, d.InForce)
	require.Equal(t, "operator", control.sender)

	t.Run("ticket sent twice", func(t *testing.T) {
		var second Decision
		control.inForce.Store(1)
		require.Equal(t, 200, c.call("POST", "/v1/tickets", firstTicket, &second))
		require.Equal(t, d.Verdict, second.Verdict)
		require.True(t, second.InForce)
	})
	t.Run("another ticket with a used number", func(t *testing.T) {
		var d Decision
		require.Equal(t, 409, c.call("POST", "/v1/tickets", strings.Replace(secondTicket, "2", "1", 1), &d))
		require.Contains(t, d.Verdict.Faults[0], `sent by "operator"`)
		require.EqualValues(t, 2, d.Verdict.Next)
	})
	t.Run("gap in the numbers", func(t *testing.T) {
		require.Equal(t, 409, c.call("POST", "/v1/tickets", strings.Replace(secondTicket, "2", "7", 1), &d))
	})
	t.Run("invalid document", func(t *testing.T) {
		var d Decision
		require.Equal(t, 422, c.call("POST", "/v1/tickets", "number: 2\nservice: []\n", &d))
		require.Contains(t, d.Verdict.Faults[0], "line 2: service: unknown field")
		require.EqualValues(t, 2, d.Verdict.Next)
	})
	t.Run("diff", func(t *testing.T) {
		var d TicketDiff
		require.Equal(t, 200, c.call("POST", "/v1/tickets/diff", secondTicket, &d))
		require.Equal(t, []ticket.Change{{Path: "services[listing].maxrun", Old: "2s", New: "3s"}}, d.Changes)
		require.Empty(t, d.Faults)
		require.Equal(t, 200, c.call("POST", "/v1/tickets/diff", strings.Replace(secondTicket, "ranges: 4", "ranges: 8", 1), &d))
		require.Contains(t, d.Faults[0], "services[0].ranges")
	})
	t.Run("contradiction with the state", func(t *testing.T) {
		var d Decision
		require.Equal(t, 422, c.call("POST", "/v1/tickets", strings.Replace(secondTicket, "ranges: 4", "ranges: 8", 1), &d))
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
		require.Equal(t, firstTicket, r.Text)
		require.True(t, r.InForce)
		require.Equal(t, 404, c.call("GET", "/v1/tickets/9", "", nil))
		require.Equal(t, 400, c.call("GET", "/v1/tickets/x", "", nil))
	})
	t.Run("no verdict", func(t *testing.T) {
		control.proposeErr = errors.New("closed")
		defer func() { control.proposeErr = nil }()
		var e Error
		require.Equal(t, 503, c.call("POST", "/v1/tickets", firstTicket, &e))
		require.Contains(t, e.Error, "send it again")
	})
	t.Run("bad arguments", func(t *testing.T) {
		require.Equal(t, 400, c.call("POST", "/v1/tickets?wait=long", firstTicket, nil))
		require.Equal(t, 400, c.call("POST", "/v1/tickets?timeout=5", firstTicket, nil))
		require.Equal(t, 400, c.call("GET", "/v1/tickets?limit=x", "", nil))
		require.Equal(t, 405, c.call("PUT", "/v1/tickets", "", nil))
		require.Equal(t, 404, c.call("GET", "/v1/ticket", "", nil))
	})
}

// A response must not say "in force" too early: the operator would rely on a
// configuration that some instance does not have yet.
func TestWaitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &fakeControl{}
		c := newTestClient(t, control)
		start := time.Now()
		time.AfterFunc(2500*time.Millisecond, func() { control.inForce.Store(1) })
		var d Decision
		require.Equal(t, 200, c.call("POST", "/v1/tickets?wait=in-force", firstTicket, &d))
		require.True(t, d.InForce)
		require.GreaterOrEqual(t, time.Since(start), 2500*time.Millisecond)

		start = time.Now()
		require.Equal(t, 202, c.call("POST", "/v1/tickets?wait=in-force&timeout=3s", secondTicket, &d))
		require.False(t, d.InForce)
		require.Equal(t, 3*time.Second, time.Since(start))
	})
}

func testSecret(s string) []byte { return []byte(s + strings.Repeat("-", conf.MinTokenBytes)) }

// A token must not allow more than its scope: otherwise the token of a monitoring
// system could change the configuration.
func TestScopes(t *testing.T) {
	control := &fakeControl{}
	c := newTestClient(
		t, control,
		Token{Name: "mon", Secret: testSecret("r"), Scope: conf.ScopeRead},
		Token{Name: "desk", Secret: testSecret("t"), Scope: conf.ScopeTickets, Services: []string{"listing"}},
		Token{Name: "office", Secret: testSecret("e"), Scope: conf.ScopeEverything},
	)
	otherService := strings.ReplaceAll(secondTicket, "listing", "claims")
	callersTicket := "number: 2\ncallers: [{name: c}]\n"
	removeTicket := "number: 2\nremove: [claims]\n"
	for _, tc := range []struct {
		name, token, method, path, body string
		want                            int
	}{
		{"no token", "", "GET", "/v1/status", "", 401},
		{"wrong token", "x", "GET", "/v1/status", "", 401},
		{"prefix of a token", string(testSecret("e")[:10]), "GET", "/v1/status", "", 401},
		{"health without token", "", "GET", "/healthz", "", 200},
		{"scope read may read the status", string(testSecret("r")), "GET", "/v1/status", "", 200},
		{"scope read may read metrics", string(testSecret("r")), "GET", "/metrics", "", 200},
		{"metrics without token", "", "GET", "/metrics", "", 401},
		{"scope read may not apply", string(testSecret("r")), "POST", "/v1/tickets", firstTicket, 403},
		{"scope read may not drain", string(testSecret("r")), "POST", "/v1/drain", "", 403},
		{"scope tickets may change its service", string(testSecret("t")), "POST", "/v1/tickets", firstTicket, 200},
		{"scope tickets may not change another service", string(testSecret("t")), "POST", "/v1/tickets", otherService, 403},
		{"scope tickets may not change callers", string(testSecret("t")), "POST", "/v1/tickets", callersTicket, 403},
		{"scope tickets may not remove another service", string(testSecret("t")), "POST", "/v1/tickets", removeTicket, 403},
		{"scope tickets may read", string(testSecret("t")), "GET", "/v1/tickets", "", 200},
		{"scope tickets may not drain", string(testSecret("t")), "POST", "/v1/drain", "", 403},
		{"scope everything may apply", string(testSecret("e")), "POST", "/v1/tickets", callersTicket, 200},
		{"scope everything may drain", string(testSecret("e")), "POST", "/v1/drain", "", 202},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c.token = tc.token
			require.Equal(t, tc.want, c.call(tc.method, tc.path, tc.body, nil))
		})
	}
	require.Equal(t, 1, control.drainCalls)
	require.Equal(t, "office", control.sender)
	_, err := New(Config{Control: control, Tokens: []Token{{Name: "weak", Secret: []byte("short")}}})
	require.ErrorIs(t, err, ErrConfig)
}

// Without tokens anyone who can connect may change everything, so the server must
// listen on loopback only and refuse requests that come from web pages.
func TestOnlyLoopbackWithoutTokens(t *testing.T) {
	c := newTestClient(t, &fakeControl{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	publicListener := &listenerWithAddr{Listener: l, addr: &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1}}
	require.ErrorIs(t, c.server.Serve(publicListener), ErrExposed)
	require.NoError(t, l.Close())
	<-c.server.Done()

	c.host = "pollen.example:7002"
	require.Equal(t, 403, c.call("GET", "/v1/status", "", nil), "a web page under another name")
	c.host = "localhost:7002"
	require.Equal(t, 200, c.call("GET", "/v1/status", "", nil))
}

type listenerWithAddr struct {
	net.Listener
	addr net.Addr
}

func (l *listenerWithAddr) Addr() net.Addr { return l.addr }

// The size limit and the shutdown are implemented by fasthttp, so this test needs a
// real listener.
func TestServeOverTCP(t *testing.T) {
	control := &fakeControl{state: new(state.State)}
	s, err := New(Config{Control: control})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
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
	require.NoError(t, <-served)
	<-s.Done()
}

// Operators learn the owner of a key, and why it is the owner, from these responses
// alone.
func TestOwnerAndStatus(t *testing.T) {
	control := &fakeControl{status: ProcessStatus{Name: "a", Serving: true}}
	c := newTestClient(t, control)
	c.call("POST", "/v1/tickets", firstTicket, nil)
	join := control.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "a", Incarnation: 1}})
	control.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: 1, Lease: join.Lease, Endpoint: pollenlatch.Endpoint{Service: "listing", Ready: true}}})
	r := pollenlatch.RangeOf("listing", "lot 1", 2)
	getOwner := func() (o KeyOwner) {
		require.Equal(t, 200, c.call("GET", "/v1/owner?service=listing&key=lot%201", "", &o))
		return o
	}
	require.Equal(t, "no instance has owned it yet", getOwner().Reason)
	control.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: pollenlatch.Shard{Service: "listing", Range: r}, To: 1}}}})
	control.assignment = Assignment{AppliedAt: time.UnixMilli(9000), Reason: "balance"}
	o := getOwner()
	require.Equal(t, "a", o.Instance.Name)
	require.Equal(t, "assigned by log entry 4: balance", o.Reason)
	require.Equal(t, time.UnixMilli(9000).UTC(), o.Since.UTC())

	var st Status
	require.Equal(t, 200, c.call("GET", "/v1/status?instances=1", "", &st))
	require.Equal(t, ServiceStatus{Name: "listing", Keyed: true, Ranges: 4, Unowned: 3, Endpoints: 1, Usable: 1}, st.Services[0])
	require.Equal(t, 1, st.Alive)
	require.Len(t, st.Instances, 1)
	require.Equal(t, 200, c.call("GET", "/readyz", "", nil))

	control.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: 1, Lease: join.Lease}})
	require.Equal(t, "no owner since the lease of a ended", getOwner().Reason)
	require.Equal(t, 404, c.call("GET", "/v1/owner?service=x&key=y", "", nil))
	require.Equal(t, 400, c.call("GET", "/v1/owner?service=x", "", nil))
	control.status.Serving = false
	require.Equal(t, 503, c.call("GET", "/readyz", "", nil))
}
