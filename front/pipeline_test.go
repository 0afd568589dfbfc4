package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// gatedHandler lets each request run until the test releases it, by ID. The response
// body is the ID.
type gatedHandler struct {
	mu      sync.Mutex
	changed *sync.Cond
	runs    map[string]int
	ended   map[string]bool // the request's context ended before its release
	gates   map[string]chan struct{}
}

func newGatedHandler() *gatedHandler {
	h := &gatedHandler{runs: make(map[string]int), ended: make(map[string]bool), gates: make(map[string]chan struct{})}
	h.changed = sync.NewCond(&h.mu)
	return h
}

func (h *gatedHandler) gate(id string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates[id] == nil {
		h.gates[id] = make(chan struct{})
	}
	return h.gates[id]
}

func (h *gatedHandler) release(ids ...string) {
	for _, id := range ids {
		close(h.gate(id))
	}
}

func (h *gatedHandler) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.changed.Broadcast()
}

// await waits until a condition on the handler's records holds.
func (h *gatedHandler) await(f func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for !f() {
		h.changed.Wait()
	}
}

func (h *gatedHandler) awaitRun(ids ...string) {
	for _, id := range ids {
		h.await(func() bool { return h.runs[id] > 0 })
	}
}

func (h *gatedHandler) numRuns(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

func (h *gatedHandler) Handle(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	h.update(func() { h.runs[r.ID]++ })
	if r.Body != nil {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, notRunFailure(pollenlatch.ReasonCancelled, http.StatusServiceUnavailable, "read the body: %v", err)
		}
	}
	select {
	case <-h.gate(r.ID):
	case <-ctx.Done():
		h.update(func() { h.ended[r.ID] = true })
		return nil, notRunFailure(pollenlatch.ReasonCancelled, http.StatusServiceUnavailable, "caller disconnected")
	}
	switch {
	case strings.HasPrefix(r.ID, "refused"):
		return nil, notRunFailure(pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable, "refused")
	case strings.HasPrefix(r.ID, "panics"):
		panic("handler of " + r.ID)
	}
	resp := &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: http.StatusOK, Length: int64(len(r.ID))}}
	resp.Body = io.NopCloser(iotest.OneByteReader(strings.NewReader(r.ID)))
	if strings.HasPrefix(r.ID, "cut") {
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("c"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	}
	return resp, nil
}

// startPipelineServer starts a server with an idempotent route, /b/, and another one,
// /u/, and returns a connection to it.
func startPipelineServer(t *testing.T) (*Server, *gatedHandler, net.Conn) {
	t.Helper()
	_, control := newRoutedServer(t)
	h, headers := newGatedHandler(), testHeaders
	s, err := NewServer(Config{Control: &twoRoutes{control}, Handler: h, Headers: &headers, LingerTimeout: time.Millisecond})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close(); <-s.Done() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return s, h, c
}

// twoRoutes is control state whose routes below /u/ are not idempotent.
type twoRoutes struct{ *routedControl }

func (c *twoRoutes) View() pollenlatch.View { return twoRoutesView{c.view} }

type twoRoutesView struct{ fakeConfigView }

func (v twoRoutesView) Route(host, path string) (pollenlatch.Route, bool) {
	r, ok := v.fakeConfigView.Route(host, path)
	r.Timeout = time.Minute
	if strings.HasPrefix(path, "/u/") {
		r.Name, r.Idempotent = "r2", false
	}
	return r, ok
}

func pipelined(method, prefix, id string) string {
	return fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: a.example\r\nId: %s\r\n\r\n", method, prefix, id, id)
}

func send(t *testing.T, c net.Conn, requests ...string) {
	t.Helper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	require.NoError(t, err)
}

func gets(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString(pipelined(http.MethodGet, "/b/", id))
	}
	return b.String()
}

// requireResponses reads the responses to GET requests, which must arrive in order.
func requireResponses(t *testing.T, r *bufio.Reader, ids ...string) {
	t.Helper()
	for _, id := range ids {
		status, body, err := readPipelined(r)
		require.NoError(t, err, "response to %s", id)
		if strings.HasPrefix(id, "refused") || strings.HasPrefix(id, "panics") {
			require.GreaterOrEqual(t, status, http.StatusInternalServerError, id)
			continue
		}
		require.Equal(t, id, body)
	}
}

// readPipelined reads one complete response.
func readPipelined(r *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// A request that waits behind a slow one on its connection loses the time that its
// caller gave it, and is refused or late although servers are free.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	_, h, c := startPipelineServer(t)
	r := bufio.NewReader(c)
	send(t, c, gets("a", "b", "refused", "panics", "d"))
	h.awaitRun("a", "b", "refused", "panics", "d")
	h.release("d", "panics", "refused", "b")
	h.release("a")
	requireResponses(t, r, "a", "b", "refused", "panics", "d")
	h.release("e")
	send(t, c, gets("e"))
	requireResponses(t, r, "e")
}

// A request that must not run twice is sent again by its caller when a response in
// front of it closes the connection, so it must not run before its turn. Neither may
// what follows it, and the bytes of a body must not be taken for a request.
func TestOnlyIdempotentRequestsRunEarly(t *testing.T) {
	body := gets("in-body")
	for name, second := range map[string]string{
		"not idempotent":    pipelined(http.MethodGet, "/u/", "second"),
		"with a body":       fmt.Sprintf("POST /b/second HTTP/1.1\r\nHost: a.example\r\nId: second\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked body":      fmt.Sprintf("POST /b/second HTTP/1.1\r\nHost: a.example\r\nId: second\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"GET with a body":   fmt.Sprintf("GET /b/second HTTP/1.1\r\nHost: a.example\r\nId: second\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"closes":            strings.Replace(gets("second"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
		"other line breaks": strings.ReplaceAll(pipelined(http.MethodGet, "/u/", "second"), "\r\n", "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			_, h, c := startPipelineServer(t)
			r := bufio.NewReader(c)
			send(t, c, gets("first"), second, gets("third"))
			h.awaitRun("first")
			h.release("second", "third", "in-body")
			require.Zero(t, h.numRuns("second"))
			h.release("first")
			requireResponses(t, r, "first", "second")
			if name != "closes" {
				requireResponses(t, r, "third")
				require.Equal(t, 1, h.numRuns("third"))
			}
			require.Equal(t, 1, h.numRuns("second"))
			require.Zero(t, h.numRuns("in-body"), "a body was taken for a request")
		})
	}
}

// A caller that leaves must not keep servers at work on its requests, also when
// further requests of it have arrived, whose bytes hide the end of the connection.
func TestCallerLeavesWithPipelinedRequests(t *testing.T) {
	_, h, c := startPipelineServer(t)
	send(t, c, gets("a", "b"), pipelined(http.MethodGet, "/u/", "unsafe"))
	h.awaitRun("a", "b")
	require.NoError(t, c.Close())
	h.await(func() bool { return h.ended["a"] && h.ended["b"] })
	require.Zero(t, h.numRuns("unsafe"))
}

// A response that ends early closes the connection; the requests behind it must not
// get an answer that belongs to another one.
func TestBrokenResponseEndsThePipeline(t *testing.T) {
	_, h, c := startPipelineServer(t)
	r := bufio.NewReader(c)
	send(t, c, gets("cut", "b"))
	h.awaitRun("cut", "b")
	h.release("cut")
	_, _, err := readPipelined(r)
	require.Error(t, err, "a truncated response looks complete")
	h.await(func() bool { return h.ended["b"] })
}

// Guards against requests that a stopping server has read from a connection and closes
// without a response: those behind a request that is being served.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	post := func(id string) string {
		return fmt.Sprintf("POST /u/%s HTTP/1.1\r\nHost: a.example\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody", id, id)
	}
	for name, tt := range map[string]struct{ before, during string }{
		"started early":          {gets("a", "b", "c"), ""},
		"read during the stop":   {gets("a", "b"), gets("c")},
		"not idempotent":         {post("a") + post("b") + post("c"), ""},
		"not idempotent, later":  {post("a"), post("b") + post("c")},
		"behind idempotent ones": {gets("a"), post("b") + gets("c")},
	} {
		t.Run(name, func(t *testing.T) {
			s, h, c := startPipelineServer(t)
			r := bufio.NewReader(c)
			send(t, c, tt.before)
			h.awaitRun("a")
			stopped := make(chan error, 1)
			s.DisableKeepAlives()
			send(t, c, tt.during)
			go func() { stopped <- s.Shutdown(context.Background()) }()
			time.Sleep(50 * time.Millisecond) // Shutdown has waited for LingerTimeout
			h.release("a", "b", "c")
			requireResponses(t, r, "a", "b", "c")
			require.NoError(t, <-stopped)
			_, err := r.Peek(1)
			require.ErrorIs(t, err, io.EOF)
			for _, id := range []string{"a", "b", "c"} {
				require.Equal(t, 1, h.numRuns(id), id)
			}
		})
	}
}

// A caller that sends further requests must not keep a stopping server from ending.
func TestShutdownEndsEndlessPipelines(t *testing.T) {
	s, h, c := startPipelineServer(t)
	send(t, c, gets("a"), pipelined(http.MethodGet, "/u/", "b"))
	h.awaitRun("a")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
	require.Zero(t, h.numRuns("b"))
}

// Thousands of requests in one write must neither all run at once nor fill the
// memory.
func TestLongPipelineIsBounded(t *testing.T) {
	s, h, c := startPipelineServer(t)
	const n = 3000
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("r", i)
	}
	go func() { _, _ = io.WriteString(c, gets(ids...)) }()
	h.awaitRun(ids[:maxEarlyPerConn+1]...)
	require.LessOrEqual(t, s.earlyRequests.Load(), int64(maxEarlyPerConn))
	h.release(ids...)
	requireResponses(t, bufio.NewReader(c), ids...)
	for _, id := range ids {
		require.Equal(t, 1, h.numRuns(id), id)
	}
}

// Whatever is pipelined, and however it is split into packets, each request gets its
// own response, in order, and runs once.
func TestRandomPipelines(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			_, h, c := startPipelineServer(t)
			var ids []string
			var text strings.Builder
			for i := range 30 {
				id := fmt.Sprint("r", i)
				if rng.IntN(8) == 0 {
					id = fmt.Sprint("refused", i)
				}
				ids = append(ids, id)
				switch rng.IntN(5) {
				case 0:
					text.WriteString(pipelined(http.MethodGet, "/u/", id))
				case 1:
					fmt.Fprintf(&text, "POST /u/%s HTTP/1.1\r\nHost: a.example\r\nId: %s\r\nContent-Length: 5\r\n\r\nGET /", id, id)
				default:
					text.WriteString(gets(id))
				}
			}
			go func() {
				for b := []byte(text.String()); len(b) > 0; {
					n := min(len(b), 1+rng.IntN(200))
					_, _ = c.Write(b[:n])
					b = b[n:]
				}
			}()
			shuffled := append([]string(nil), ids...)
			rand.New(rand.NewPCG(seed, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			go h.release(shuffled...)
			requireResponses(t, bufio.NewReader(c), ids...)
			for _, id := range ids {
				require.Equal(t, 1, h.numRuns(id), id)
			}
		})
	}
}
